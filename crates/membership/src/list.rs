//! A list of servers as the platform's discovery writes it: JSON.

use serde::Deserialize;
use std::net::SocketAddr;

/// Servers, all of them or those that have changed.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerList {
    /// Version of the list.
    pub revision: u64,
    /// Whether those not named are gone.
    pub complete: bool,
    /// The servers.
    pub members: Vec<Member>,
}

/// One server, as discovery describes it.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its name, the same at every node.
    pub id: String,
    /// Where it listens. One that has left needs none.
    pub host_port: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its machine kind.
    #[serde(default)]
    pub flavor: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// What it takes.
    pub phase: Phase,
    /// Its weight.
    #[serde(default = "one")]
    pub size: f64,
    /// Its latest start in Unix time, in milliseconds; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// What a server takes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// New requests.
    Active,
    /// Nothing new.
    Leaving,
    /// It is no more.
    Left,
}

/// Why a text is no list of servers.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is not JSON of that form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A server that is there has to be somewhere.
    #[error("{0} has no host_port")]
    NoAddress(String),
}

impl ServerList {
    /// Reads a list.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        let list: ServerList = serde_json::from_slice(text)?;
        match list.members.iter().find(|m| m.host_port.is_none() && m.phase != Phase::Left) {
            Some(m) => Err(ListError::NoAddress(m.id.clone())),
            None => Ok(list),
        }
    }
}

//! The JSON format in which the platform's discovery sends lists of servers.

use serde::Deserialize;
use std::net::SocketAddr;

/// A list of all servers, or of those that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerList {
    /// Revision of the list.
    pub revision: u64,
    /// Whether the list is complete, so that servers missing from it are gone.
    pub complete: bool,
    /// The servers.
    pub members: Vec<Member>,
}

/// A server's entry.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// The server's name, the same on every node.
    pub id: String,
    /// The address where it listens. Optional for a server that has left.
    pub host_port: Option<SocketAddr>,
    /// The name of its zone.
    #[serde(default)]
    pub locality: String,
    /// The name of its machine kind.
    #[serde(default)]
    pub flavor: String,
    /// The number of its cell.
    #[serde(default)]
    pub cell: u16,
    /// Whether it accepts requests.
    pub phase: Phase,
    /// Its weight; 1 if not given.
    #[serde(default = "one")]
    pub size: f64,
    /// Its latest start in Unix milliseconds; 0 means long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Which requests a server accepts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It accepts new requests.
    Active,
    /// It drains: no new requests.
    Leaving,
    /// It is gone.
    Left,
}

/// An error in a list of servers.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// Not JSON of the expected form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A server that has not left lacks an address.
    #[error("{0} has no host_port")]
    NoAddress(String),
}

impl ServerList {
    /// Parses a list.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        let list: ServerList = serde_json::from_slice(text)?;
        match list.members.iter().find(|m| m.host_port.is_none() && m.phase != Phase::Left) {
            Some(m) => Err(ListError::NoAddress(m.id.clone())),
            None => Ok(list),
        }
    }
}

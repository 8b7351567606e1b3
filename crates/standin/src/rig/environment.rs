//! What a place speaks with beside the members' socket: discovery, servers, clients, and other nodes' meshes.

use super::plan::Plan;
use super::proxies::{Source, TcpProxies};
use crate::registry::Registry;
use crate::script::External;
use std::net::SocketAddr;
use std::rc::Rc;
use tempfile::TempDir;
use tokio::sync::watch;

/// What a place speaks with that is no node.
pub(super) struct Environment {
    pub registry: Rc<Registry>,
    pub discovery: SocketAddr,
    /// Where each server is for this place.
    pub servers: Vec<SocketAddr>,
    /// Where clients reach it, if they pass the rig, and where that leads.
    pub clients: Option<SocketAddr>,
    pub listens: watch::Sender<Option<SocketAddr>>,
    /// Where other nodes reach its mesh, if nodes have one, and where that leads.
    pub mesh: Option<SocketAddr>,
    pub meshes: watch::Sender<Option<SocketAddr>>,
    /// What its processes keep, one after the other.
    pub folder: Option<TempDir>,
}

/// A number like a place's for what is no node.
pub(super) fn external_place(far: External) -> usize {
    usize::MAX - far as usize
}

/// Opens all ways of a place.
pub(super) async fn create_environment(
    plan: &Plan,
    n: usize,
    shared_registry: &Rc<Registry>,
    proxies: &mut TcpProxies,
) -> std::io::Result<Environment> {
    let (listens, meshes) = (watch::Sender::new(None), watch::Sender::new(None));
    let mesh = match plan.mesh {
        true => Some(proxies.open((Source::AnyNode, n), meshes.subscribe()).await?),
        false => None,
    };
    let folder = plan.folders.then(tempfile::tempdir).transpose()?;
    if !plan.streams {
        let (registry, discovery, servers) =
            (shared_registry.clone(), shared_registry.address(), plan.servers.clone());
        return Ok(Environment {
            registry,
            discovery,
            servers,
            clients: None,
            listens,
            mesh,
            meshes,
            folder,
        });
    }
    let registry = Registry::start().await?;
    let real = |address| watch::Sender::new(Some(address)).subscribe();
    let discovery = proxies
        .open((Source::Place(n), external_place(External::Discovery)), real(registry.address()))
        .await?;
    let mut servers = Vec::new();
    for server in &plan.servers {
        servers
            .push(proxies.open((Source::Place(n), external_place(External::Servers)), real(*server)).await?);
    }
    let clients =
        Some(proxies.open((Source::Place(external_place(External::Clients)), n), listens.subscribe()).await?);
    Ok(Environment { registry, discovery, servers, clients, listens, mesh, meshes, folder })
}

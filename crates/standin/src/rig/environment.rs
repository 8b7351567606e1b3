//! Endpoints that a place connects to besides the membership socket: discovery, servers, clients, and other nodes'
//! meshes.

use super::plan::Plan;
use super::proxies::{Source, TcpProxies};
use crate::registry::Registry;
use crate::script::External;
use std::net::SocketAddr;
use std::rc::Rc;
use tempfile::TempDir;
use tokio::sync::watch;

/// External endpoints of a place.
pub(super) struct Environment {
    pub registry: Rc<Registry>,
    pub discovery: SocketAddr,
    /// Address of each server as this place sees it.
    pub servers: Vec<SocketAddr>,
    /// Address at which clients reach the node if their connections are proxied, and the proxy's target.
    pub clients: Option<SocketAddr>,
    pub listens: watch::Sender<Option<SocketAddr>>,
    /// Address at which other nodes reach the mesh listener, if nodes have a mesh, and the proxy's target.
    pub mesh: Option<SocketAddr>,
    pub meshes: watch::Sender<Option<SocketAddr>>,
    /// Folder that outlives the place's processes.
    pub folder: Option<TempDir>,
}

/// Pseudo place number of an external endpoint, above those of all nodes.
pub(super) fn external_place(far: External) -> usize {
    usize::MAX - far as usize
}

/// Opens the proxies of a place and starts its registry if it has one of its own.
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

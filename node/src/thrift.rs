//! Starts a Thrift listener of the operator's.

use crate::{listen, lists, or};
use birchswitch_figures::Metrics;
use birchswitch_host::Host;
use birchswitch_membership::Directory;
use birchswitch_site::Names;
use birchswitch_thrift_proxy::{ThriftFrontend, ThriftSettings, ThriftUpstream};
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};

/// What all listeners share.
pub struct Shared<'a> {
    /// The node's name.
    pub name: &'a str,
    /// The site's settings.
    pub site: &'a finchvale::Settings,
    /// The site's names.
    pub names: &'a Rc<Names>,
    /// For random numbers.
    pub seed: u64,
    /// What the node counts.
    pub metrics: &'a Rc<Metrics>,
    /// Up once the node closes.
    pub closing: &'a watch::Receiver<bool>,
}

/// A listener that serves.
pub struct Running {
    host: Rc<Host<ThriftUpstream>>,
    served: JoinHandle<()>,
}

impl Running {
    /// Listens, follows the servers' list, and serves.
    pub fn start(compiled: ThriftSettings, number: usize, shared: &Shared) -> Result<Self, Box<dyn Error>> {
        let compiled = Rc::new(compiled);
        let settings = &compiled.settings;
        let site = compiled.site_settings(shared.site.clone());
        let name = format!("{} thrift {}", shared.name, settings.name);
        let connect_timeout = or(site.connect_timeout, Duration::from_millis(250));
        let conn_idle = or(site.conn_idle, Duration::from_secs(5));
        let upstream = ThriftUpstream::new(compiled.clone(), connect_timeout, conn_idle);
        let directory = Directory::new(shared.names.clone());
        let seed = shared.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let host = Host::new(name, site, seed, directory, upstream.clone(), shared.metrics.clone())?;
        let listener = listen(settings.listen).map_err(|e| {
            format!("thrift listener {:?}: cannot listen on {}: {e}", settings.name, settings.listen)
        })?;
        host.log(format_args!("listening on {}", listener.local_addr()?));
        lists::follow(&host, settings.servers.discovery, None, false);
        spawn_local(async move { upstream.retire_idle().await });
        let front =
            ThriftFrontend::new(host.clone(), compiled.clone(), shared.names.clone(), shared.closing.clone());
        Ok(Running { host, served: spawn_local(front.serve(listener)) })
    }

    /// What follows the servers' list.
    pub fn host(&self) -> &Rc<Host<ThriftUpstream>> {
        &self.host
    }

    /// Waits until the last connection has ended.
    pub async fn ended(&mut self) {
        let _ = (&mut self.served).await;
    }

    /// Begins nothing more.
    pub fn close(&self) {
        self.host.close();
    }
}

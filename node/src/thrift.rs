//! Starts the Thrift listeners of the operator's file.

use crate::{listen, lists, or_default};
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

/// Values that all listeners share.
pub struct ListenerContext<'a> {
    /// The node's name.
    pub name: &'a str,
    /// The site's settings.
    pub site: &'a finchvale::Settings,
    /// The site's names.
    pub names: &'a Rc<Names>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The node's metrics.
    pub metrics: &'a Rc<Metrics>,
    /// Becomes true once the node accepts no more connections.
    pub closing: &'a watch::Receiver<bool>,
}

/// A running Thrift listener.
pub struct ThriftListener {
    host: Rc<Host<ThriftUpstream>>,
    served: JoinHandle<()>,
}

impl ThriftListener {
    /// Listens, follows the servers' list, and serves.
    pub fn start(
        compiled: ThriftSettings,
        index: usize,
        context: &ListenerContext,
    ) -> Result<Self, Box<dyn Error>> {
        let compiled = Rc::new(compiled);
        let settings = &compiled.settings;
        let site = compiled.site_settings(context.site.clone());
        let name = format!("{} thrift {}", context.name, settings.name);
        let connect_timeout = or_default(site.connect_timeout, Duration::from_millis(250));
        let conn_idle = or_default(site.conn_idle, Duration::from_secs(5));
        let upstream = ThriftUpstream::new(compiled.clone(), connect_timeout, conn_idle);
        let directory = Directory::new(context.names.clone());
        let seed = context.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let host = Host::new(name, site, seed, directory, upstream.clone(), context.metrics.clone())?;
        let listener = listen(settings.listen).map_err(|e| {
            format!("thrift listener {:?}: cannot listen on {}: {e}", settings.name, settings.listen)
        })?;
        host.log(format_args!("listening on {}", listener.local_addr()?));
        lists::follow(&host, settings.servers.discovery, None, false);
        spawn_local(async move { upstream.retire_idle().await });
        let front = ThriftFrontend::new(
            host.clone(),
            compiled.clone(),
            context.names.clone(),
            context.closing.clone(),
        );
        Ok(ThriftListener { host, served: spawn_local(front.serve(listener)) })
    }

    /// The listener's host, which follows its list of servers.
    pub fn host(&self) -> &Rc<Host<ThriftUpstream>> {
        &self.host
    }

    /// Waits until the last connection has ended.
    pub async fn finished(&mut self) {
        let _ = (&mut self.served).await;
    }

    /// Stops the host from starting new work.
    pub fn close(&self) {
        self.host.close();
    }
}

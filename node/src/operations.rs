//! Handles operators' calls: the node's status line, its metrics, and servers suspended by hand for all listeners.

use birchswitch_figures::Metrics;
use birchswitch_host::{Host, Upstream};
use birchswitch_http::{HttpUpstream, ShutdownPhase};
use birchswitch_operations::{serve, Bans, Call, CallHandler, DeferredReply, LeaseSession};
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Interval between checks for bans set by another process, well within the grace period of a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A host that follows a list of servers, independent of its protocol.
trait SuspendTarget {
    fn knows(&self, server: &str) -> bool;
    fn set_suspended(&self, server: &str, suspended: bool);
}

impl<U: Upstream> SuspendTarget for Host<U> {
    fn knows(&self, server: &str) -> bool {
        Host::knows_server(self, server)
    }

    fn set_suspended(&self, server: &str, suspended: bool) {
        Host::set_suspended(self, server, suspended);
    }
}

/// A subsystem of the node that operators can query. It answers its own calls only.
pub trait Subsystem {
    /// Updates the subsystem's metrics.
    fn metrics(&self, _metrics: &Metrics) {}

    /// Answers a call with one or more lines. Returns `None` if the call is for another subsystem.
    fn answer(&self, _call: &Call) -> Option<Result<String, String>> {
        None
    }

    /// Carries out a call about prepaid accounts. Returns `None` if the subsystem has no accounts.
    fn wallet(&self, _words: &[String]) -> Option<DeferredReply> {
        None
    }

    /// Starts to wait for a lease. Returns `None` if the subsystem has no leases.
    fn lease(&self, _name: &str, _slots: u16) -> Option<Result<Box<dyn LeaseSession>, String>> {
        None
    }
}

/// Returns the table of the operator's file that a call requires.
fn required_table(call: &Call) -> &'static str {
    match call {
        Call::Leases | Call::Lease { .. } | Call::EndLease(_) => "[lease]",
        Call::Mesh => "[mesh]",
        Call::Limits => "[[limits]]",
        Call::Wallet(_) => "[[wallet]]",
        _ => "[cluster]",
    }
}

/// Serves operators' calls.
pub struct OperatorServer {
    address: SocketAddr,
    host: Rc<Host<HttpUpstream>>,
    /// All hosts that send requests to servers, including `host`.
    hosts: RefCell<Vec<Rc<dyn SuspendTarget>>>,
    bans: RefCell<Bans>,
    metrics: Rc<Metrics>,
    phase: watch::Receiver<ShutdownPhase>,
    subsystems: Vec<Rc<dyn Subsystem>>,
}

impl OperatorServer {
    /// Loads the bans stored below the folder `state`; must be called before a list of servers arrives. Returns `None` without an
    /// address for operators.
    pub fn open(
        address: Option<SocketAddr>,
        state: Option<PathBuf>,
        host: &Rc<Host<HttpUpstream>>,
        metrics: &Rc<Metrics>,
        phase: watch::Receiver<ShutdownPhase>,
        subsystems: Vec<Rc<dyn Subsystem>>,
    ) -> Result<Option<Rc<Self>>, Box<dyn Error>> {
        let Some(address) = address else { return Ok(None) };
        let folder = state.map(|state| state.join("birchswitch").join("bans"));
        let bans = Bans::open(folder).map_err(|e| format!("bans: {e}"))?;
        let server = OperatorServer {
            address,
            host: host.clone(),
            hosts: RefCell::default(),
            bans: RefCell::new(bans),
            metrics: metrics.clone(),
            phase,
            subsystems,
        };
        server.add_host(host.clone());
        Ok(Some(Rc::new(server)))
    }

    /// Applies bans and later calls to this host's servers too.
    pub fn add_host<U: Upstream>(&self, host: Rc<Host<U>>) {
        self.bans.borrow().names().for_each(|name| host.set_suspended(name, true));
        self.hosts.borrow_mut().push(host);
    }

    /// Serves calls, and applies bans that another process of this node received, until the process ends.
    pub fn serve(self: Rc<Self>) -> Result<(), Box<dyn Error>> {
        let listener = crate::listen(self.address)
            .map_err(|e| format!("ops: cannot listen on {}: {e}", self.address))?;
        self.host.log(format_args!("operators call {}", listener.local_addr()?));
        spawn_local(serve(listener, self.clone()));
        spawn_local(async move {
            let mut every = tokio::time::interval(POLL_INTERVAL);
            let mut reported = false;
            loop {
                every.tick().await;
                let changes = self.bans.borrow_mut().refresh();
                if let (Err(error), false) = (&changes, reported) {
                    self.host.log(format_args!("bans: {error}"));
                }
                reported = changes.is_err();
                changes
                    .iter()
                    .flatten()
                    .for_each(|c| self.apply(&c.server, c.suspended, "another process was told"));
            }
        });
        Ok(())
    }

    /// Passes a call to the subsystem that answers it.
    fn query(&self, call: &Call) -> Result<String, String> {
        let missing = || Err(format!("no {} in the operator's file", required_table(call)));
        self.subsystems.iter().find_map(|s| s.answer(call)).unwrap_or_else(missing)
    }

    fn apply(&self, server: &str, suspended: bool, why: &str) {
        self.hosts.borrow().iter().for_each(|h| h.set_suspended(server, suspended));
        let what = if suspended { "out" } else { "in use again" };
        self.host.log(format_args!("server {server:?} is {what}: {why}"));
    }
}

impl CallHandler for OperatorServer {
    fn status(&self) -> Result<String, String> {
        match (self.host.ready(), *self.phase.borrow()) {
            (true, ShutdownPhase::Serving) => Ok(format!("serving, list {}", self.host.revision())),
            (false, ShutdownPhase::Serving) => Err("no list of servers yet".to_owned()),
            (_, ShutdownPhase::Leaving | ShutdownPhase::Closing | ShutdownPhase::Finishing) => {
                Err("leaving".to_owned())
            }
        }
    }

    fn metrics(&self) -> String {
        let (listed, out) = self.host.server_counts();
        self.metrics.discovered.set(listed as i64);
        self.metrics.ejected.set(out as i64);
        self.subsystems.iter().for_each(|s| s.metrics(&self.metrics));
        self.host.spared_probes().iter().for_each(|n| self.metrics.set_probes_spared(*n));
        self.metrics.encode()
    }

    fn members(&self) -> Result<String, String> {
        self.query(&Call::Members)
    }

    fn leave(&self) -> Result<String, String> {
        self.query(&Call::Leave)
    }

    fn leases(&self) -> Result<String, String> {
        self.query(&Call::Leases)
    }

    fn subsystem_status(&self, what: &Call) -> Result<String, String> {
        self.query(what)
    }

    fn wallet(&self, words: &[String]) -> DeferredReply {
        let missing =
            || Box::pin(async { Err("no [[wallet]] in the operator's file".to_owned()) }) as DeferredReply;
        self.subsystems.iter().find_map(|s| s.wallet(words)).unwrap_or_else(missing)
    }

    fn lease(&self, name: &str, slots: u16) -> Result<Box<dyn LeaseSession>, String> {
        let missing = || Err("no [lease] in the operator's file".to_owned());
        self.subsystems.iter().find_map(|s| s.lease(name, slots)).unwrap_or_else(missing)
    }

    fn end_lease(&self, name: &str) -> Result<String, String> {
        self.query(&Call::EndLease(name.to_owned()))
    }

    fn set_suspended(&self, server: &str, suspended: bool) -> Result<String, String> {
        let listed = self.hosts.borrow().iter().any(|h| h.knows(server));
        let mut bans = self.bans.borrow_mut();
        if !listed && !bans.contains(server) {
            return Err(format!("no server of the id {server:?} is listed or out"));
        }
        let kept = if suspended { bans.add(server) } else { bans.remove(server) };
        kept.map_err(|e| format!("nothing was changed: {e}"))?;
        drop(bans);
        self.apply(server, suspended, "an operator's call");
        Ok(if suspended { "out" } else { "in use again" }.to_owned())
    }
}

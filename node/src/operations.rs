//! What operators' calls come to: the node's state in one line, its figures, and servers taken out by hand on all fronts.

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

/// How often another process's bans are looked for: well within the grace of a drain.
const LOOK: Duration = Duration::from_millis(200);

/// What follows a list of servers, whatever its protocol.
trait Follows {
    fn knows(&self, server: &str) -> bool;
    fn set_suspended(&self, server: &str, out: bool);
}

impl<U: Upstream> Follows for Host<U> {
    fn knows(&self, server: &str) -> bool {
        Host::knows_server(self, server)
    }

    fn set_suspended(&self, server: &str, out: bool) {
        Host::set_suspended(self, server, out);
    }
}

/// A part of the node that operators may ask about: it answers what is its own, and nothing else.
pub trait Part {
    /// Brings the figures up to date.
    fn metrics(&self, _metrics: &Metrics) {}

    /// Answers a call in lines, or in one; none: it is another's.
    fn answers(&self, _call: &Call) -> Option<Result<String, String>> {
        None
    }

    /// Has a call about prepaid accounts carried out; none: it has none.
    fn wallet(&self, _words: &[String]) -> Option<DeferredReply> {
        None
    }

    /// Waits for a lease; none: it has none.
    fn lease(&self, _name: &str, _slots: u16) -> Option<Result<Box<dyn LeaseSession>, String>> {
        None
    }
}

/// Which table of the operator's file a call wants.
fn table(call: &Call) -> &'static str {
    match call {
        Call::Leases | Call::Lease { .. } | Call::EndLease(_) => "[lease]",
        Call::Mesh => "[mesh]",
        Call::Limits => "[[limits]]",
        Call::Wallet(_) => "[[wallet]]",
        _ => "[cluster]",
    }
}

/// Where operators call.
pub struct Desk {
    address: SocketAddr,
    host: Rc<Host<HttpUpstream>>,
    /// All that send to servers, `host` among them.
    followers: RefCell<Vec<Rc<dyn Follows>>>,
    bans: RefCell<Bans>,
    metrics: Rc<Metrics>,
    phase: watch::Receiver<ShutdownPhase>,
    parts: Vec<Rc<dyn Part>>,
}

impl Desk {
    /// Takes up the bans that were kept below the folder `state`, before any list comes. None: there is no address for
    /// operators.
    pub fn open(
        address: Option<SocketAddr>,
        state: Option<PathBuf>,
        host: &Rc<Host<HttpUpstream>>,
        metrics: &Rc<Metrics>,
        phase: watch::Receiver<ShutdownPhase>,
        parts: Vec<Rc<dyn Part>>,
    ) -> Result<Option<Rc<Self>>, Box<dyn Error>> {
        let Some(address) = address else { return Ok(None) };
        let folder = state.map(|state| state.join("birchswitch").join("bans"));
        let bans = Bans::open(folder).map_err(|e| format!("bans: {e}"))?;
        let desk = Desk {
            address,
            host: host.clone(),
            followers: RefCell::default(),
            bans: RefCell::new(bans),
            metrics: metrics.clone(),
            phase,
            parts,
        };
        desk.add(host.clone());
        Ok(Some(Rc::new(desk)))
    }

    /// Lets calls count for these servers too.
    pub fn add<U: Upstream>(&self, host: Rc<Host<U>>) {
        self.bans.borrow().names().for_each(|name| host.set_suspended(name, true));
        self.followers.borrow_mut().push(host);
    }

    /// Takes calls, and takes up what another process of this node was told, for good.
    pub fn serve(self: Rc<Self>) -> Result<(), Box<dyn Error>> {
        let listener = crate::listen(self.address)
            .map_err(|e| format!("ops: cannot listen on {}: {e}", self.address))?;
        self.host.log(format_args!("operators call {}", listener.local_addr()?));
        spawn_local(serve(listener, self.clone()));
        spawn_local(async move {
            let mut every = tokio::time::interval(LOOK);
            let mut told = false;
            loop {
                every.tick().await;
                let changes = self.bans.borrow_mut().refresh();
                if let (Err(error), false) = (&changes, told) {
                    self.host.log(format_args!("bans: {error}"));
                }
                told = changes.is_err();
                changes
                    .iter()
                    .flatten()
                    .for_each(|c| self.apply(&c.server, c.suspended, "another process was told"));
            }
        });
        Ok(())
    }

    /// What the part says whose call it is.
    fn asks(&self, call: &Call) -> Result<String, String> {
        let missing = || Err(format!("no {} in the operator's file", table(call)));
        self.parts.iter().find_map(|p| p.answers(call)).unwrap_or_else(missing)
    }

    fn apply(&self, server: &str, out: bool, why: &str) {
        self.followers.borrow().iter().for_each(|f| f.set_suspended(server, out));
        let what = if out { "out" } else { "in use again" };
        self.host.log(format_args!("server {server:?} is {what}: {why}"));
    }
}

impl CallHandler for Desk {
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
        self.parts.iter().for_each(|p| p.metrics(&self.metrics));
        self.host.spared_probes().iter().for_each(|n| self.metrics.set_probes_spared(*n));
        self.metrics.encode()
    }

    fn members(&self) -> Result<String, String> {
        self.asks(&Call::Members)
    }

    fn leave(&self) -> Result<String, String> {
        self.asks(&Call::Leave)
    }

    fn leases(&self) -> Result<String, String> {
        self.asks(&Call::Leases)
    }

    fn subsystem_status(&self, what: &Call) -> Result<String, String> {
        self.asks(what)
    }

    fn wallet(&self, words: &[String]) -> DeferredReply {
        let missing =
            || Box::pin(async { Err("no [[wallet]] in the operator's file".to_owned()) }) as DeferredReply;
        self.parts.iter().find_map(|p| p.wallet(words)).unwrap_or_else(missing)
    }

    fn lease(&self, name: &str, slots: u16) -> Result<Box<dyn LeaseSession>, String> {
        let missing = || Err("no [lease] in the operator's file".to_owned());
        self.parts.iter().find_map(|p| p.lease(name, slots)).unwrap_or_else(missing)
    }

    fn end_lease(&self, name: &str) -> Result<String, String> {
        self.asks(&Call::EndLease(name.to_owned()))
    }

    fn set_suspended(&self, server: &str, out: bool) -> Result<String, String> {
        let listed = self.followers.borrow().iter().any(|f| f.knows(server));
        let mut bans = self.bans.borrow_mut();
        if !listed && !bans.contains(server) {
            return Err(format!("no server of the id {server:?} is listed or out"));
        }
        let kept = if out { bans.add(server) } else { bans.remove(server) };
        kept.map_err(|e| format!("nothing was changed: {e}"))?;
        drop(bans);
        self.apply(server, out, "an operator's call");
        Ok(if out { "out" } else { "in use again" }.to_owned())
    }
}

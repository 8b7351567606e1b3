//! What the whole fleet knows of servers, put together for the decisions: the one place where it enters them.

use birchswitch_host::{Host, NamedServerAdjustment, Upstream};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Takes what is said of servers.
trait Advises {
    fn advise(&self, said: &[NamedServerAdjustment]);
}

impl<U: Upstream> Advises for Host<U> {
    fn advise(&self, said: &[NamedServerAdjustment]) {
        Host::set_server_adjustments(self, said);
    }
}

/// See the module's words.
#[derive(Default)]
pub struct Advised {
    hosts: RefCell<Vec<Rc<dyn Advises>>>,
    open: RefCell<Vec<(u64, f64)>>,
    weights: RefCell<Vec<(u64, f64, f64)>>,
}

impl Advised {
    /// Tells this host too from now on.
    pub fn add<U: Upstream>(&self, host: &Rc<Host<U>>) {
        self.hosts.borrow_mut().push(host.clone());
    }

    /// How far servers stay open that are condemned; all others are.
    pub fn withheld(&self, open: Vec<(u64, f64)>) {
        if *self.open.borrow() != open {
            tracing::info!(target: "verdict", kind = "obeys", servers = open.len());
            *self.open.borrow_mut() = open;
            self.tell();
        }
    }

    /// Whether a server is withheld now.
    pub fn withholds(&self, name: u64) -> bool {
        self.open.borrow().iter().any(|(other, _)| *other == name)
    }

    /// Servers' weights, and how far they count; none: nodes go by their own estimates.
    pub fn weighed(&self, weights: Vec<(u64, f64, f64)>) {
        if *self.weights.borrow() != weights {
            *self.weights.borrow_mut() = weights;
            self.tell();
        }
    }

    fn tell(&self) {
        let none =
            |name| NamedServerAdjustment { name, share_limit: 1.0, weight_factor: 1.0, confidence: 0.0 };
        let mut all: BTreeMap<u64, NamedServerAdjustment> = BTreeMap::new();
        for (name, open) in self.open.borrow().iter() {
            all.entry(*name).or_insert_with(|| none(*name)).share_limit = *open;
        }
        for (name, weight, sure) in self.weights.borrow().iter() {
            let said = all.entry(*name).or_insert_with(|| none(*name));
            (said.weight_factor, said.confidence) = (*weight, *sure);
        }
        let all: Vec<NamedServerAdjustment> = all.into_values().collect();
        self.hosts.borrow().iter().for_each(|host| host.advise(&all));
    }
}

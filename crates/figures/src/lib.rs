//! What a node counts about itself, in the text format that collectors read.
//!
//! One set is shared by all of a process's hosts, whatever their protocol. Names and labels are fixed, and the only label
//! with values from outside is the class, of which the settings name at most 256: memory is bounded however long a
//! node runs.
//!
//! | name | kind | of what |
//! | --- | --- | --- |
//! | `app_results{service, disposition}` | counter | requests that ended: `succeeded` (served), `declined` (refused), `aborted` (failed) |
//! | `app_refusals{reason}` | counter | requests refused by what the decisions had against them: `hopeless`, `toll`, `no_server`, `chance`, `spent` |
//! | `app_forwards` | counter | attempts whose last byte was handed to a server's connection |
//! | `app_probes` | counter | probes sent to servers |
//! | `app_handshakes` | counter | connections to servers that came up |
//! | `app_lists` | counter | lists of servers, and changes to them, that discovery sent |
//! | `app_outstanding` | gauge | requests taken and not ended |
//! | `app_discovered` | gauge | servers on the list |
//! | `app_ejected` | gauge | listed servers that are kept out |
//! | `app_members{state}` | gauge | with `[cluster]`: other nodes, by how this one holds them |
//! | `app_cluster_datagrams{way}`, `app_cluster_bytes{way}` | counter | ... datagrams between nodes, `sent` and `received` |
//! | `app_cluster_dropped` | counter | ... of these, dropped: broken, foreign, of another version |
//! | `app_cluster_suspicions`, `app_cluster_refutations`, `app_cluster_verdicts` | counter | ... others suspected, own death refuted, others declared dead by this node |
//! | `app_leases{state}` | gauge | with `[lease]`: leases `held` and `waiting` at this node |
//! | `app_lease_granted`, `app_lease_lost`, `app_lease_refused`, `app_lease_votes` | counter | ... granted to this node, lost without being given up, tries that came to nothing, grants voted for |
//! | `app_probes_spared` | counter | with `[health]`: questions to silent servers that were left to another node |
//! | `app_cluster_health` | gauge | ... how badly this node hears others: 0 (well) to 8 |
//! | `app_mesh{of}` | gauge | with `[mesh]`: connections that are open and ever were, questions, words, tries in vain |
//! | `app_limit_let_in{limit}`, `app_limit_turned_away{limit}`, `app_limit_per_s{limit}` | gauge | with `[[limits]]`: requests let in and turned away by each limit, and what this node holds of it |
//! | `app_sighup_applied`, `app_sighup_rejected` | counter | configurations read again: taken up, turned down |

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use finchvale::Refusal;
use prometheus::core::Collector;
use prometheus::{GaugeVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};
use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Why the figures can't be set up: a name is registered twice, or is none.
pub type MetricsError = prometheus::Error;

/// How a request ended, in the terms of the figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// A server's answer went to the client.
    Succeeded,
    /// Refused: trying again is harmless.
    Declined,
    /// Failed: nothing is promised.
    Aborted,
}

/// The figures' words, in the order of [`Disposition`].
const DISPOSITIONS: [&str; 3] = ["succeeded", "declined", "aborted"];

/// See the crate's own words. Counts from 0 with each process.
pub struct Metrics {
    registry: Registry,
    /// For each class, in the order of [`Disposition`].
    results: Vec<[IntCounter; 3]>,
    refusals: [IntCounter; Refusal::ALL.len()],
    /// Attempts written whole to servers.
    pub forwards: IntCounter,
    /// Probes sent to servers.
    pub probes: IntCounter,
    /// Connections to servers that came up.
    pub handshakes: IntCounter,
    /// Lists of servers, and changes to them, that discovery sent.
    pub lists: IntCounter,
    /// Requests taken and not ended.
    pub outstanding: IntGauge,
    /// Servers on the list.
    pub discovered: IntGauge,
    /// Listed servers that are kept out.
    pub ejected: IntGauge,
    /// Configurations read again and taken up.
    pub reloaded: IntCounter,
    /// Configurations read again and turned down.
    pub reload_failed: IntCounter,
    cluster: OnceCell<Cluster>,
    leases: OnceCell<LeaseGauges>,
    spared: OnceCell<IntCounter>,
    /// Of parts that are not always on, by their names.
    parts: RefCell<BTreeMap<&'static str, GaugeVec>>,
}

/// What a node knows and counts of the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClusterMetrics {
    /// Others by state: alive, suspect, dead, left.
    pub members: [usize; 4],
    /// Datagrams and bytes sent.
    pub sent: [u64; 2],
    /// Datagrams and bytes received.
    pub received: [u64; 2],
    /// Datagrams dropped.
    pub dropped: u64,
    /// Suspicions, refutations, verdicts.
    pub detection_counts: [u64; 3],
    /// 0 to 8.
    pub health: u32,
}

/// What a node knows and counts of leases.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseMetrics {
    /// Held at this node.
    pub held: usize,
    /// Waited for at this node.
    pub waiting: usize,
    /// Granted, lost, refused, voted for.
    pub outcome_counts: [u64; 4],
}

/// A collector, told to the registry.
fn kept<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: Result<C, MetricsError>,
) -> Result<C, MetricsError> {
    let collector = collector?;
    registry.register(Box::new(collector.clone())).map(|()| collector)
}

/// Brings a counter to what was counted elsewhere.
fn raise(counter: &IntCounter, value: u64) {
    counter.inc_by(value.saturating_sub(counter.get()));
}

/// What is made and registered at its first use. Names are fixed, so that it can't fail.
fn once<T>(cell: &OnceCell<T>, new: impl FnOnce() -> Result<T, MetricsError>) -> Option<&T> {
    if cell.get().is_none() {
        new().ok().map(|value| cell.set(value));
    }
    cell.get()
}

struct LeaseGauges {
    leases: IntGaugeVec,
    told: [IntCounter; 4],
}

impl LeaseGauges {
    fn new(registry: &Registry) -> Result<Self, MetricsError> {
        let counter = |name: &str, help: &str| kept(registry, IntCounter::new(name, help));
        let leases = Opts::new("leases", "Leases at this node.");
        Ok(LeaseGauges {
            leases: kept(registry, IntGaugeVec::new(leases, &["state"]))?,
            told: [
                counter("lease_granted", "Leases granted to this node.")?,
                counter("lease_lost", "Leases lost without being given up.")?,
                counter("lease_refused", "Tries for leases that came to nothing.")?,
                counter("lease_votes", "Grants that this node voted for, extensions included.")?,
            ],
        })
    }

    fn set(&self, now: &LeaseMetrics) {
        self.leases.with_label_values(&["held"]).set(now.held as i64);
        self.leases.with_label_values(&["waiting"]).set(now.waiting as i64);
        self.told.iter().zip(now.outcome_counts).for_each(|(counter, value)| raise(counter, value));
    }
}

struct Cluster {
    members: IntGaugeVec,
    datagrams: IntCounterVec,
    bytes: IntCounterVec,
    dropped: IntCounter,
    told: [IntCounter; 3],
    health: IntGauge,
}

/// The labels of [`ClusterMetrics::members`], in their order.
const STATES: [&str; 4] = ["alive", "suspect", "dead", "left"];

impl Cluster {
    fn new(registry: &Registry) -> Result<Self, MetricsError> {
        let counter = |name: &str, help: &str| kept(registry, IntCounter::new(name, help));
        let ways =
            |name: &str, help: &str| kept(registry, IntCounterVec::new(Opts::new(name, help), &["way"]));
        let members = Opts::new("members", "Other nodes, by how this one holds them.");
        Ok(Cluster {
            members: kept(registry, IntGaugeVec::new(members, &["state"]))?,
            datagrams: ways("cluster_datagrams", "Datagrams between nodes.")?,
            bytes: ways("cluster_bytes", "Bytes between nodes.")?,
            dropped: counter(
                "cluster_dropped",
                "Datagrams that were broken, foreign or of another version.",
            )?,
            told: [
                counter("cluster_suspicions", "Times that other nodes came under suspicion.")?,
                counter("cluster_refutations", "Times that this node refuted what others held of it.")?,
                counter("cluster_verdicts", "Nodes that this one declared dead.")?,
            ],
            health: kept(
                registry,
                IntGauge::new("cluster_health", "How badly this node hears others, 0 to 8."),
            )?,
        })
    }

    fn set(&self, now: &ClusterMetrics) {
        for (label, count) in STATES.iter().zip(now.members) {
            self.members.with_label_values(&[label]).set(count as i64);
        }
        for (way, [datagrams, bytes]) in [("sent", now.sent), ("received", now.received)] {
            raise(&self.datagrams.with_label_values(&[way]), datagrams);
            raise(&self.bytes.with_label_values(&[way]), bytes);
        }
        raise(&self.dropped, now.dropped);
        self.told.iter().zip(now.detection_counts).for_each(|(counter, value)| raise(counter, value));
        self.health.set(now.health.into());
    }
}

impl Metrics {
    /// Starts at 0, for classes of these names.
    pub fn new(classes: &[String]) -> Result<Rc<Self>, MetricsError> {
        let registry = Registry::new_custom(Some("app".to_owned()), None)?;
        let results = IntCounterVec::new(
            Opts::new("results", "Requests that ended, by class and by how."),
            &["service", "disposition"],
        )?;
        registry.register(Box::new(results.clone()))?;
        // All of them are there from the start: a collector that has seen no 0 can't tell a first one.
        let of = |class: &String| DISPOSITIONS.map(|name| results.with_label_values(&[class.as_str(), name]));
        let results = classes.iter().map(of).collect();
        let refusals = Opts::new("refusals", "Requests refused, by what the decisions had against them.");
        let refusals = kept(&registry, IntCounterVec::new(refusals, &["reason"]))?;
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone())).map(|()| counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone())).map(|()| gauge)
        };
        Ok(Rc::new(Metrics {
            results,
            refusals: Refusal::ALL.map(|why| refusals.with_label_values(&[why.as_str()])),
            forwards: counter("forwards", "Attempts written whole to servers.")?,
            probes: counter("probes", "Probes sent to servers.")?,
            handshakes: counter("handshakes", "Connections to servers that came up.")?,
            lists: counter("lists", "Lists of servers, and changes to them, that discovery sent.")?,
            outstanding: gauge("outstanding", "Requests taken and not ended.")?,
            discovered: gauge("discovered", "Servers on the list.")?,
            ejected: gauge("ejected", "Listed servers that are kept out.")?,
            reloaded: counter("sighup_applied", "Configurations read again and taken up.")?,
            reload_failed: counter("sighup_rejected", "Configurations read again and turned down.")?,
            cluster: OnceCell::new(),
            leases: OnceCell::new(),
            spared: OnceCell::new(),
            parts: RefCell::default(),
            registry,
        }))
    }

    /// Counts a request of a class, by its place in the settings. Classes that the settings don't name are not counted.
    pub fn record_result(&self, class: usize, disposition: Disposition) {
        if let Some(counters) = self.results.get(class) {
            counters[disposition as usize].inc();
        }
    }

    /// Brings the refusals to what was counted of each reason, in the order of [`Refusal::ALL`].
    pub fn set_refusals(&self, counts: [u64; Refusal::ALL.len()]) {
        self.refusals.iter().zip(counts).for_each(|(counter, count)| raise(counter, count));
    }

    /// What is known and counted of other nodes. These figures are there from the first call on.
    pub fn set_cluster(&self, now: &ClusterMetrics) {
        once(&self.cluster, || Cluster::new(&self.registry)).iter().for_each(|c| c.set(now));
    }

    /// What is known and counted of leases. These figures are there from the first call on.
    pub fn set_leases(&self, now: &LeaseMetrics) {
        once(&self.leases, || LeaseGauges::new(&self.registry)).iter().for_each(|l| l.set(now));
    }

    /// Questions to servers that were left to another node. This figure is there from the first call on.
    pub fn set_probes_spared(&self, now: u64) {
        let new = || {
            kept(
                &self.registry,
                IntCounter::new("probes_spared", "Questions to servers left to another node."),
            )
        };
        once(&self.spared, new).iter().for_each(|c| raise(c, now));
    }

    /// What a part that is not always on tells under a name of its own, with one label whose values the operator's file bounds. The figure
    /// is there from the first call on.
    pub fn set_gauges(
        &self,
        (name, help, label): (&'static str, &str, &str),
        values: impl IntoIterator<Item = (String, f64)>,
    ) {
        let mut parts = self.parts.borrow_mut();
        if !parts.contains_key(name) {
            let new = kept(&self.registry, GaugeVec::new(Opts::new(name, help), &[label]));
            new.into_iter().for_each(|new| drop(parts.insert(name, new)));
        }
        if let Some(part) = parts.get(name) {
            values.into_iter().for_each(|(of, value)| part.with_label_values(&[of.as_str()]).set(value));
        }
    }

    /// All of them, a line each, with what they are about in comments between.
    pub fn encode(&self) -> String {
        // The encoder fails on families without a name or a value; there are none.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_read_as_collectors_want_them() {
        let metrics = Metrics::new(&["buy".to_owned(), "a\"b\\".to_owned()]).expect("fixed names");
        metrics.record_result(0, Disposition::Succeeded);
        metrics.record_result(0, Disposition::Succeeded);
        metrics.record_result(1, Disposition::Aborted);
        metrics.record_result(7, Disposition::Declined);
        metrics.outstanding.set(14);
        metrics.set_refusals([0, 3, 0, 0, 1]);
        let text = metrics.encode();
        let lines: Vec<_> = text.lines().filter(|l| !l.starts_with('#')).collect();
        for line in [
            "app_results{disposition=\"succeeded\",service=\"buy\"} 2",
            "app_results{disposition=\"declined\",service=\"buy\"} 0",
            "app_results{disposition=\"aborted\",service=\"a\\\"b\\\\\"} 1",
            "app_refusals{reason=\"toll\"} 3",
            "app_outstanding 14",
            "app_forwards 0",
            "app_sighup_rejected 0",
        ] {
            assert!(lines.contains(&line), "{line} is not among {lines:#?}");
        }
        assert_eq!(lines.len(), 6 + 5 + 9, "nothing else is told");
    }
}

//! Metrics of a node, in the Prometheus text format.
//!
//! One set of metrics is shared by all hosts of a process, whatever their protocol. Memory is bounded however long a
//! node runs: names and labels are fixed, the settings name at most 256 classes for the label `service`, and the
//! operator's file bounds the values of the labels `limit` and `account`.
//!
//! | name | kind | meaning |
//! | --- | --- | --- |
//! | `app_results{service, disposition}` | counter | completed requests: `succeeded` (served), `declined` (refused), `aborted` (failed) |
//! | `app_refusals{reason}` | counter | refused requests by reason: `hopeless` (the hinted work cannot be finished in time even on an idle server), `toll` (capacity is short and the request is worth less than those admitted), `no_server` (no server that may take it is available), `chance` (an answer in time is too unlikely at the chosen server), `spent` (its attempts failed, and time or retry budget do not allow another) |
//! | `app_forwards` | counter | attempts whose last byte was handed to a connection to a server |
//! | `app_probes` | counter | probes sent to servers |
//! | `app_handshakes` | counter | connections established to servers |
//! | `app_lists` | counter | server lists and changes to them received from discovery |
//! | `app_outstanding` | gauge | requests in progress |
//! | `app_discovered` | gauge | servers on the current list |
//! | `app_ejected` | gauge | listed servers that are excluded from use |
//! | `app_members{state}` | gauge | with `[cluster]`: other nodes, by their state as this node sees it |
//! | `app_cluster_datagrams{way}`, `app_cluster_bytes{way}` | counter | ... datagrams and bytes between nodes, `sent` and `received` |
//! | `app_cluster_dropped` | counter | ... received datagrams that were dropped: malformed, of another cluster, or of another version |
//! | `app_cluster_suspicions`, `app_cluster_refutations`, `app_cluster_verdicts` | counter | ... suspicions of other nodes, refutations of this node's own suspected death, nodes that this one declared dead |
//! | `app_leases{state}` | gauge | with `[lease]`: leases `held` and `waiting` at this node |
//! | `app_lease_granted`, `app_lease_lost`, `app_lease_refused`, `app_lease_votes` | counter | ... leases granted to this node, leases lost without being released, failed attempts, votes for grants |
//! | `app_probes_spared` | counter | with `[health]`: probes of silent servers that were left to another node |
//! | `app_cluster_health` | gauge | with `[cluster]`: how badly this node receives from others: 0 (well) to 8 |
//! | `app_mesh{of}` | gauge | with `[mesh]`: connections that are open and that were opened in total, requests, messages, failed attempts |
//! | `app_limit_let_in{limit}`, `app_limit_turned_away{limit}`, `app_limit_per_s{limit}` | gauge | with `[[limits]]`: requests admitted and rejected by each limit, and this node's part of it |
//! | `app_memory_bytes{of}` | gauge | memory of the process: its `limit`, its `resident` size, what is `allocated`, and what is reserved for `request_bodies` and `response_bodies` |
//! | `app_memory_level{at}` | gauge | how short memory is: 0 (normal) to 3 (critical) |
//! | `app_sighup_applied`, `app_sighup_rejected` | counter | configuration reloads that were applied and rejected |

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use finchvale::Refusal;
use prometheus::core::Collector;
use prometheus::{GaugeVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};
use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Why the metrics can't be registered: a name is used twice or is invalid.
pub type MetricsError = prometheus::Error;

/// The result of a request, as a label value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// A server's response went to the client.
    Succeeded,
    /// Refused: the request was not carried out and can safely be retried.
    Declined,
    /// Failed: the request may or may not have been carried out.
    Aborted,
}

/// The label values, in the order of [`Disposition`].
const DISPOSITIONS: [&str; 3] = ["succeeded", "declined", "aborted"];

/// The metrics of a process. Counters start at 0 with each process.
pub struct Metrics {
    registry: Registry,
    /// Per class, in the order of [`Disposition`].
    results: Vec<[IntCounter; 3]>,
    refusals: [IntCounter; Refusal::ALL.len()],
    /// Attempts that were written completely to servers.
    pub forwards: IntCounter,
    /// Probes sent to servers.
    pub probes: IntCounter,
    /// Connections established to servers.
    pub handshakes: IntCounter,
    /// Server lists, and changes to them, received from discovery.
    pub lists: IntCounter,
    /// Requests in progress.
    pub outstanding: IntGauge,
    /// Servers on the current list.
    pub discovered: IntGauge,
    /// Listed servers that are excluded from use.
    pub ejected: IntGauge,
    /// Configuration reloads that were applied.
    pub reloaded: IntCounter,
    /// Configuration reloads that were rejected.
    pub reload_failed: IntCounter,
    cluster: OnceCell<ClusterCollectors>,
    leases: OnceCell<LeaseCollectors>,
    probes_spared: OnceCell<IntCounter>,
    /// Gauges of optional subsystems, by name.
    gauges: RefCell<BTreeMap<&'static str, GaugeVec>>,
}

/// Values for the metrics of cluster membership.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClusterMetrics {
    /// Other nodes by state: alive, suspect, dead, left.
    pub members: [usize; 4],
    /// Datagrams and bytes sent.
    pub sent: [u64; 2],
    /// Datagrams and bytes received.
    pub received: [u64; 2],
    /// Datagrams dropped.
    pub dropped: u64,
    /// Suspicions, refutations, and nodes declared dead.
    pub detection_counts: [u64; 3],
    /// How badly this node receives from others, 0 to 8.
    pub health: u32,
}

/// Values for the metrics of leases.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseMetrics {
    /// Leases held at this node.
    pub held: usize,
    /// Leases waited for at this node.
    pub waiting: usize,
    /// Leases granted and lost, failed attempts, and votes for grants.
    pub outcome_counts: [u64; 4],
}

/// Registers a collector.
fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: Result<C, MetricsError>,
) -> Result<C, MetricsError> {
    let collector = collector?;
    registry.register(Box::new(collector.clone())).map(|()| collector)
}

/// Raises a counter to a value that was counted elsewhere.
fn raise_to(counter: &IntCounter, value: u64) {
    counter.inc_by(value.saturating_sub(counter.get()));
}

/// Creates and registers collectors at their first use. This can't fail in practice, since the names are fixed.
fn get_or_register<T>(cell: &OnceCell<T>, new: impl FnOnce() -> Result<T, MetricsError>) -> Option<&T> {
    if cell.get().is_none() {
        new().ok().map(|value| cell.set(value));
    }
    cell.get()
}

struct LeaseCollectors {
    leases: IntGaugeVec,
    outcome_counts: [IntCounter; 4],
}

impl LeaseCollectors {
    fn new(registry: &Registry) -> Result<Self, MetricsError> {
        let counter = |name: &str, help: &str| register(registry, IntCounter::new(name, help));
        let leases = Opts::new("leases", "Leases at this node.");
        Ok(LeaseCollectors {
            leases: register(registry, IntGaugeVec::new(leases, &["state"]))?,
            outcome_counts: [
                counter("lease_granted", "Leases granted to this node.")?,
                counter("lease_lost", "Leases lost without being given up.")?,
                counter("lease_refused", "Tries for leases that came to nothing.")?,
                counter("lease_votes", "Grants that this node voted for, extensions included.")?,
            ],
        })
    }

    fn set(&self, values: &LeaseMetrics) {
        self.leases.with_label_values(&["held"]).set(values.held as i64);
        self.leases.with_label_values(&["waiting"]).set(values.waiting as i64);
        self.outcome_counts
            .iter()
            .zip(values.outcome_counts)
            .for_each(|(counter, value)| raise_to(counter, value));
    }
}

struct ClusterCollectors {
    members: IntGaugeVec,
    datagrams: IntCounterVec,
    bytes: IntCounterVec,
    dropped: IntCounter,
    detection_counts: [IntCounter; 3],
    health: IntGauge,
}

/// The labels of [`ClusterMetrics::members`], in their order.
const STATES: [&str; 4] = ["alive", "suspect", "dead", "left"];

impl ClusterCollectors {
    fn new(registry: &Registry) -> Result<Self, MetricsError> {
        let counter = |name: &str, help: &str| register(registry, IntCounter::new(name, help));
        let by_direction =
            |name: &str, help: &str| register(registry, IntCounterVec::new(Opts::new(name, help), &["way"]));
        let members = Opts::new("members", "Other nodes, by how this one holds them.");
        Ok(ClusterCollectors {
            members: register(registry, IntGaugeVec::new(members, &["state"]))?,
            datagrams: by_direction("cluster_datagrams", "Datagrams between nodes.")?,
            bytes: by_direction("cluster_bytes", "Bytes between nodes.")?,
            dropped: counter(
                "cluster_dropped",
                "Datagrams that were broken, foreign or of another version.",
            )?,
            detection_counts: [
                counter("cluster_suspicions", "Times that other nodes came under suspicion.")?,
                counter("cluster_refutations", "Times that this node refuted what others held of it.")?,
                counter("cluster_verdicts", "Nodes that this one declared dead.")?,
            ],
            health: register(
                registry,
                IntGauge::new("cluster_health", "How badly this node hears others, 0 to 8."),
            )?,
        })
    }

    fn set(&self, values: &ClusterMetrics) {
        for (label, count) in STATES.iter().zip(values.members) {
            self.members.with_label_values(&[label]).set(count as i64);
        }
        for (direction, [datagrams, bytes]) in [("sent", values.sent), ("received", values.received)] {
            raise_to(&self.datagrams.with_label_values(&[direction]), datagrams);
            raise_to(&self.bytes.with_label_values(&[direction]), bytes);
        }
        raise_to(&self.dropped, values.dropped);
        self.detection_counts
            .iter()
            .zip(values.detection_counts)
            .for_each(|(counter, value)| raise_to(counter, value));
        self.health.set(values.health.into());
    }
}

impl Metrics {
    /// Registers the metrics, all at 0, with result counters for each of these classes.
    pub fn new(classes: &[String]) -> Result<Rc<Self>, MetricsError> {
        let registry = Registry::new_custom(Some("app".to_owned()), None)?;
        let results = IntCounterVec::new(
            Opts::new("results", "Requests that ended, by class and by how."),
            &["service", "disposition"],
        )?;
        registry.register(Box::new(results.clone()))?;
        // All label values exist from the start: a collector that has not seen a 0 can't compute the first increase.
        let counters =
            |class: &String| DISPOSITIONS.map(|name| results.with_label_values(&[class.as_str(), name]));
        let results = classes.iter().map(counters).collect();
        let refusals = Opts::new("refusals", "Requests refused, by what the decisions had against them.");
        let refusals = register(&registry, IntCounterVec::new(refusals, &["reason"]))?;
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
            probes_spared: OnceCell::new(),
            gauges: RefCell::default(),
            registry,
        }))
    }

    /// Counts a completed request of the class at this index of the settings. Other classes are not counted.
    pub fn record_result(&self, class: usize, disposition: Disposition) {
        if let Some(counters) = self.results.get(class) {
            counters[disposition as usize].inc();
        }
    }

    /// Sets the number of refusals for each reason, in the order of [`Refusal::ALL`].
    pub fn set_refusals(&self, counts: [u64; Refusal::ALL.len()]) {
        self.refusals.iter().zip(counts).for_each(|(counter, count)| raise_to(counter, count));
    }

    /// Sets the metrics of cluster membership. They are registered by the first call.
    pub fn set_cluster(&self, values: &ClusterMetrics) {
        get_or_register(&self.cluster, || ClusterCollectors::new(&self.registry))
            .iter()
            .for_each(|c| c.set(values));
    }

    /// Sets the metrics of leases. They are registered by the first call.
    pub fn set_leases(&self, values: &LeaseMetrics) {
        get_or_register(&self.leases, || LeaseCollectors::new(&self.registry))
            .iter()
            .for_each(|l| l.set(values));
    }

    /// Sets the number of probes that were left to another node. The metric is registered by the first call.
    pub fn set_probes_spared(&self, count: u64) {
        let new = || {
            register(
                &self.registry,
                IntCounter::new("probes_spared", "Questions to servers left to another node."),
            )
        };
        get_or_register(&self.probes_spared, new).iter().for_each(|c| raise_to(c, count));
    }

    /// Sets a gauge of an optional subsystem, given its name, help text and label, for each value of the label. The
    /// number of label values has to be bounded, for example by the operator's file. The gauge is registered by the
    /// first call.
    pub fn set_gauges(
        &self,
        (name, help, label): (&'static str, &str, &str),
        values: impl IntoIterator<Item = (String, f64)>,
    ) {
        let mut gauges = self.gauges.borrow_mut();
        if !gauges.contains_key(name) {
            let new = register(&self.registry, GaugeVec::new(Opts::new(name, help), &[label]));
            new.into_iter().for_each(|new| drop(gauges.insert(name, new)));
        }
        if let Some(gauge) = gauges.get(name) {
            values
                .into_iter()
                .for_each(|(label, value)| gauge.with_label_values(&[label.as_str()]).set(value));
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        // The encoder fails only for metric families without a name or value, of which there are none.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn encodes_the_prometheus_text_format() {
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
            assert!(lines.contains(&line), "{line} is not in {lines:#?}");
        }
        assert_eq!(lines.len(), 6 + 5 + 9, "there are no other lines");
    }
}

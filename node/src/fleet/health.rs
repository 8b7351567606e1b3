//! Shared health checks: one node of each zone probes the servers that stopped answering, and publishes the silent ones to its zone.

use birchswitch_cluster::{Record, Topic};
use birchswitch_cluster_host::{Cluster, HumanDuration, SettingError, SettingSpans};
use birchswitch_health::{decode, encode, ProbeIntervals, ProbeScheduler, ShortId};
use birchswitch_host::{Host, Upstream};
use birchswitch_lease::Task;
use birchswitch_lease_host::{running_tasks, SingletonTask, TaskLease, Tasks};
use serde::Deserialize;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::Instant;
use toml::Spanned;

/// The cluster's lane for reports of silent servers.
const LANE: u8 = 2;
/// Interval between checks for due probes and for published changes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The `[health]` table of an operator's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthTable {
    least: Option<Spanned<HumanDuration>>,
    most: Option<Spanned<HumanDuration>>,
}

/// Checks the table against the rest of the configuration.
pub fn compile(
    table: Spanned<HealthTable>,
    leases: bool,
    may_probe: bool,
) -> Result<ProbeIntervals, SettingError> {
    let mut spans = SettingSpans::new("health", &table);
    if !leases {
        return Err(
            spans.error_at("health", "[health] is a task of the whole fleet and requires a [lease] table")
        );
    }
    if !may_probe {
        return Err(spans
            .error_at("health", "[health] probes servers for their load, which this site does not allow"));
    }
    let (mut intervals, table) = (ProbeIntervals::default(), table.get_ref());
    spans.apply_duration("least", &table.least, &mut intervals.least);
    spans.apply_duration("most", &table.most, &mut intervals.most);
    if !(Duration::from_millis(500)..=Duration::from_secs(60)).contains(&intervals.least) {
        return Err(spans.error_at("least", "`least` must be between 500ms and 60s"));
    }
    if !(intervals.least..=Duration::from_secs(300)).contains(&intervals.most) {
        return Err(spans.error_at("most", "`most` must be at least `least` and at most 5m"));
    }
    Ok(intervals)
}

struct Prober<U: Upstream> {
    host: Rc<Host<U>>,
    cluster: Rc<Cluster>,
    intervals: ProbeIntervals,
    began: Instant,
    /// Set while this node probes for its zone.
    scheduler: RefCell<Option<ProbeScheduler>>,
    task: Task,
}

/// Starts reporting silent servers and following the zone's published ones, and probes while this node holds the task's lease.
pub fn start<U: Upstream>(
    intervals: ProbeIntervals,
    host: &Rc<Host<U>>,
    cluster: &Rc<Cluster>,
    tasks: &Rc<Tasks>,
) {
    let zone = cluster.core().own().zone.clone();
    let task = Task { name: format!("health/{zone}"), zone, standbys: 0 };
    let (host, cluster, began) = (host.clone(), cluster.clone(), Instant::now());
    let prober = Rc::new(Prober {
        host,
        cluster,
        intervals,
        began,
        scheduler: RefCell::default(),
        task: task.clone(),
    });
    let reporter = prober.clone();
    prober.host.on_server_silent(move |name| reporter.report(name));
    let receiver = prober.clone();
    prober.cluster.open_lane(
        LANE,
        Rc::new(move |_, bytes| {
            // Reports need no check of their sender: only listed servers are probed, each no more often than its schedule allows.
            if let Ok(name) = bytes.try_into() {
                receiver.record_report(u64::from_le_bytes(name));
            }
        }),
    );
    tasks.register(task, ProbeTask(prober.clone()));
    spawn_local(prober.follow_published());
}

impl<U: Upstream> Prober<U> {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Reads the record of the node that probes for this zone, which may be this node. Returns `None` if no node does.
    fn with_prober<T>(&self, read: impl FnOnce(&Record) -> T) -> Option<T> {
        let core = self.cluster.core();
        let id = self.task.id();
        let probes = |r: &Record| r.zone == self.task.zone && running_tasks(r).contains(&id);
        if probes(core.own()) {
            return Some(read(core.own()));
        }
        let other = core.members().find(|(_, m)| m.state.is_live() && probes(&m.record));
        other.map(|(_, m)| read(&m.record))
    }

    /// Reports a server that stopped answering this node to the node that probes for the zone.
    fn report(&self, name: u64) {
        if self.scheduler.borrow().is_some() {
            self.record_report(name);
        } else if let Some(address) = self.with_prober(|r| r.address) {
            self.cluster.send_payload(address, LANE, name.to_le_bytes().to_vec());
        }
    }

    fn record_report(&self, name: u64) {
        if let Some(scheduler) = self.scheduler.borrow_mut().as_mut() {
            scheduler.report(self.now(), name);
        }
    }

    /// Applies the silent servers that the probing node publishes.
    async fn follow_published(self: Rc<Self>) {
        let mut every = tokio::time::interval(POLL_INTERVAL);
        let mut known: Vec<ShortId> = Vec::new();
        loop {
            every.tick().await;
            let published = self
                .with_prober(|r| r.value(Topic::Silent).map(decode).unwrap_or_default())
                .unwrap_or_default();
            if published != known {
                self.host.set_silent_servers(&published);
                known = published;
            }
        }
    }

    fn publish(&self) {
        let silent =
            self.scheduler.borrow().as_ref().map(|s| s.silent().collect::<Vec<_>>()).unwrap_or_default();
        tracing::info!(target: "health", kind = "silent", servers = silent.len());
        self.cluster.publish(Topic::Silent, encode(silent.into_iter()));
    }

    async fn probe_silent(self: Rc<Self>, mut term: TaskLease) {
        *self.scheduler.borrow_mut() = Some(ProbeScheduler::new(self.intervals));
        let _withdraw = WithdrawOnDrop(self.clone());
        let mut probes = JoinSet::new();
        let mut every = tokio::time::interval(POLL_INTERVAL);
        loop {
            tokio::select! {
                () = term.stop_requested() => return,
                Some(Ok((name, answer))) = probes.join_next() => {
                    let mut scheduler = self.scheduler.borrow_mut();
                    let changed = match (scheduler.as_mut(), answer) {
                        (Some(scheduler), Some(answered)) => scheduler.record_answer(name, answered),
                        // The probe was not sent.
                        _ => false,
                    };
                    drop(scheduler);
                    if changed {
                        self.publish();
                    }
                }
                _ = every.tick() => {
                    if term.guard().is_none() {
                        return;
                    }
                    let listed = self.host.servers_to_probe();
                    let due = self.scheduler.borrow_mut().as_mut().map(|scheduler| {
                        scheduler.retain_listed(&listed);
                        scheduler.due(self.now())
                    });
                    for name in due.into_iter().flatten() {
                        let host = self.host.clone();
                        probes.spawn_local(async move { (name, host.probe_for_others(name, PROBE_TIMEOUT).await) });
                    }
                }
            }
        }
    }
}

/// Withdraws the published servers when this node stops probing, wherever the task is stopped.
struct WithdrawOnDrop<U: Upstream>(Rc<Prober<U>>);

impl<U: Upstream> Drop for WithdrawOnDrop<U> {
    fn drop(&mut self) {
        *self.0.scheduler.borrow_mut() = None;
        self.0.publish();
    }
}

struct ProbeTask<U: Upstream>(Rc<Prober<U>>);

impl<U: Upstream> SingletonTask for ProbeTask<U> {
    fn run(&self, term: TaskLease) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(self.0.clone().probe_silent(term))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Deserialize)]
    struct File {
        health: Spanned<HealthTable>,
    }

    fn compiled(text: &str, leases: bool, may_probe: bool) -> Result<ProbeIntervals, String> {
        let file: File = toml::from_str(text).expect("its form is right");
        compile(file.health, leases, may_probe)
            .map_err(|w| format!("{:?}: {}", text.get(w.span).unwrap_or_default(), w.problem))
    }

    #[test]
    fn errors_carry_their_place() {
        assert_eq!(compiled("[health]", true, true), Ok(ProbeIntervals::default()));
        let given = compiled("[health]\nleast = \"2s\"\nmost = \"3s\"", true, true).expect("it is right");
        assert_eq!((given.least, given.most), (Duration::from_secs(2), Duration::from_secs(3)));
        for (text, leases, may_probe, place, problem) in [
            ("[health]\nleast = \"0s\"", true, true, "\"\\\"0s\\\"\"", "`least`"),
            ("[health]\nmost = \"500ms\"", true, true, "\"\\\"500ms\\\"\"", "`most`"),
            ("[health]\n", false, true, "\"[health]", "[lease]"),
            ("[health]\n", true, false, "\"[health]", "does not allow"),
        ] {
            let wrong = compiled(text, leases, may_probe).expect_err(text);
            assert!(wrong.starts_with(place) && wrong.contains(problem), "{wrong}");
        }
    }
}

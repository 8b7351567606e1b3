//! One node of a zone asks the servers that fell silent whether they are back, and tells the others of that zone.

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

/// The cluster's lane for words of servers that fell silent.
const LANE: u8 = 2;
/// Between looks at who is due, and at what is told.
const LOOK: Duration = Duration::from_millis(250);
/// For a server's answer.
const PATIENCE: Duration = Duration::from_millis(500);

/// The `[health]` table of an operator's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    least: Option<Spanned<HumanDuration>>,
    most: Option<Spanned<HumanDuration>>,
}

/// Checks the table beside what else there is.
pub fn compile(table: Spanned<Table>, leases: bool, may_probe: bool) -> Result<ProbeIntervals, SettingError> {
    let mut places = SettingSpans::new("health", &table);
    if !leases {
        return Err(
            places.error_at("health", "[health] is a task of the whole fleet: it wants a [lease] table")
        );
    }
    if !may_probe {
        return Err(
            places.error_at("health", "[health] asks servers for their load, which this site does not allow")
        );
    }
    let (mut times, table) = (ProbeIntervals::default(), table.get_ref());
    places.apply_duration("least", &table.least, &mut times.least);
    places.apply_duration("most", &table.most, &mut times.most);
    if !(Duration::from_millis(500)..=Duration::from_secs(60)).contains(&times.least) {
        return Err(places.error_at("least", "`least` has to be 500ms to 60s"));
    }
    if !(times.least..=Duration::from_secs(300)).contains(&times.most) {
        return Err(places.error_at("most", "`most` has to be at least `least` and at most 5m"));
    }
    Ok(times)
}

struct Asks<U: Upstream> {
    host: Rc<Host<U>>,
    cluster: Rc<Cluster>,
    times: ProbeIntervals,
    began: Instant,
    /// While this node asks for its zone.
    rounds: RefCell<Option<ProbeScheduler>>,
    task: Task,
}

/// Takes part from now on, for good.
pub fn attend<U: Upstream>(
    times: ProbeIntervals,
    host: &Rc<Host<U>>,
    cluster: &Rc<Cluster>,
    tasks: &Rc<Tasks>,
) {
    let zone = cluster.core().own().zone.clone();
    let task = Task { name: format!("health/{zone}"), zone, standbys: 0 };
    let (host, cluster, began) = (host.clone(), cluster.clone(), Instant::now());
    let asks = Rc::new(Asks { host, cluster, times, began, rounds: RefCell::default(), task: task.clone() });
    let reports = asks.clone();
    asks.host.on_server_silent(move |name| reports.report(name));
    let takes = asks.clone();
    asks.cluster.open_lane(
        LANE,
        Rc::new(move |_, bytes| {
            // Whatever comes from wherever: only servers that are listed are asked, each no more often than its turn comes.
            if let Ok(name) = bytes.try_into() {
                takes.reported(u64::from_le_bytes(name));
            }
        }),
    );
    tasks.register(task, Asking(asks.clone()));
    spawn_local(asks.listen());
}

impl<U: Upstream> Asks<U> {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// What the one that asks for this zone says, if one does: whether it is this node, where it is, and who is silent.
    fn asker<T>(&self, of: impl FnOnce(&Record) -> T) -> Option<T> {
        let core = self.cluster.core();
        let id = self.task.id();
        let asks = |r: &Record| r.zone == self.task.zone && running_tasks(r).contains(&id);
        if asks(core.own()) {
            return Some(of(core.own()));
        }
        let other = core.members().find(|(_, m)| m.state.is_live() && asks(&m.record));
        other.map(|(_, m)| of(&m.record))
    }

    /// A server fell silent for this node: whoever asks for its zone is told.
    fn report(&self, name: u64) {
        if self.rounds.borrow().is_some() {
            self.reported(name);
        } else if let Some(address) = self.asker(|r| r.address) {
            self.cluster.send_payload(address, LANE, name.to_le_bytes().to_vec());
        }
    }

    fn reported(&self, name: u64) {
        if let Some(rounds) = self.rounds.borrow_mut().as_mut() {
            rounds.report(self.now(), name);
        }
    }

    /// Takes up what is told.
    async fn listen(self: Rc<Self>) {
        let mut every = tokio::time::interval(LOOK);
        let mut known: Vec<ShortId> = Vec::new();
        loop {
            every.tick().await;
            let told =
                self.asker(|r| r.value(Topic::Silent).map(decode).unwrap_or_default()).unwrap_or_default();
            if told != known {
                self.host.set_silent_servers(&told);
                known = told;
            }
        }
    }

    fn tell(&self) {
        let silent =
            self.rounds.borrow().as_ref().map(|r| r.silent().collect::<Vec<_>>()).unwrap_or_default();
        tracing::info!(target: "health", kind = "silent", servers = silent.len());
        self.cluster.publish(Topic::Silent, encode(silent.into_iter()));
    }

    async fn ask(self: Rc<Self>, mut term: TaskLease) {
        *self.rounds.borrow_mut() = Some(ProbeScheduler::new(self.times));
        let _ended = Ended(self.clone());
        let mut questions = JoinSet::new();
        let mut every = tokio::time::interval(LOOK);
        loop {
            tokio::select! {
                () = term.stop_requested() => return,
                Some(Ok((name, answer))) = questions.join_next() => {
                    let mut rounds = self.rounds.borrow_mut();
                    let changed = match (rounds.as_mut(), answer) {
                        (Some(rounds), Some(spoke)) => rounds.record_answer(name, spoke),
                        // It was not asked.
                        _ => false,
                    };
                    drop(rounds);
                    if changed {
                        self.tell();
                    }
                }
                _ = every.tick() => {
                    if term.guard().is_none() {
                        return;
                    }
                    let listed = self.host.servers_to_probe();
                    let due = self.rounds.borrow_mut().as_mut().map(|rounds| {
                        rounds.retain_listed(&listed);
                        rounds.due(self.now())
                    });
                    for name in due.into_iter().flatten() {
                        let host = self.host.clone();
                        questions.spawn_local(async move { (name, host.probe_for_others(name, PATIENCE).await) });
                    }
                }
            }
        }
    }
}

/// Takes back what was told once this node asks no more, wherever it was stopped.
struct Ended<U: Upstream>(Rc<Asks<U>>);

impl<U: Upstream> Drop for Ended<U> {
    fn drop(&mut self) {
        *self.0.rounds.borrow_mut() = None;
        self.0.tell();
    }
}

struct Asking<U: Upstream>(Rc<Asks<U>>);

impl<U: Upstream> SingletonTask for Asking<U> {
    fn run(&self, term: TaskLease) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(self.0.clone().ask(term))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Deserialize)]
    struct File {
        health: Spanned<Table>,
    }

    fn compiled(text: &str, leases: bool, may_probe: bool) -> Result<ProbeIntervals, String> {
        let file: File = toml::from_str(text).expect("its form is right");
        compile(file.health, leases, may_probe)
            .map_err(|w| format!("{:?}: {}", text.get(w.span).unwrap_or_default(), w.problem))
    }

    #[test]
    fn mistakes_are_told_where_they_are() {
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

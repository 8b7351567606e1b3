//! Checks a [`History`] against what membership guarantees. Evidence is what the rig did and what each process logged
//! of itself; what a process logs of another one is never taken as true.

use super::history::{History, Line, Nanos, RigAction};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A member must not be declared dead after being unreachable for less than this.
const TOLERATED_OUTAGE: Duration = Duration::from_secs(2);
/// Interval at which spans are sampled, in nanoseconds.
const SAMPLE_INTERVAL: u64 = 50_000_000;

/// A process of a history.
#[derive(Clone, Debug)]
struct Process {
    place: usize,
    name: String,
    started: Nanos,
    /// When the process ended, and whether it was killed, that is without announcing that it leaves.
    ended: Option<(Nanos, bool)>,
    /// Spans in which the process was stopped.
    stopped: Vec<(Nanos, Nanos)>,
    /// Random number that identifies this process, from its `listening` event.
    draw: Option<u64>,
}

impl Process {
    fn is_running(&self, at: Nanos) -> bool {
        let ended = self.ended.is_some_and(|(e, _)| at >= e);
        at >= self.started && !ended && !self.stopped.iter().any(|(from, to)| (*from..*to).contains(&at))
    }

    /// Whether the process ran during the whole span, never stopped.
    fn ran_throughout(&self, from: Nanos, to: Nanos) -> bool {
        self.started <= from
            && self.ended.is_none_or(|(e, _)| e > to)
            && !self.stopped.iter().any(|(a, b)| *a <= to && *b >= from)
    }
}

/// A history, prepared for checks.
pub struct Checker<'a> {
    history: &'a History,
    processes: Vec<Process>,
    cuts: Vec<(Nanos, BTreeSet<(usize, usize)>)>,
    end: Nanos,
}

impl<'a> Checker<'a> {
    /// Prepares a history that ends at `end`.
    pub fn new(history: &'a History, end: Nanos) -> Self {
        let mut processes: Vec<Process> = Vec::new();
        let mut cuts = vec![(0, BTreeSet::new())];
        let mut starts: BTreeMap<usize, usize> = BTreeMap::new();
        for (at, action) in &history.actions {
            let last = |place: &usize, all: &mut Vec<Process>| all.iter().rposition(|p| p.place == *place);
            match action {
                RigAction::Started(place, name) => {
                    let start = starts.entry(*place).or_default();
                    let own = history
                        .lines
                        .iter()
                        .find(|l| l.kind == "listening" && (l.place, l.start) == (*place, *start));
                    *start += 1;
                    processes.push(Process {
                        place: *place,
                        name: name.clone(),
                        started: *at,
                        ended: None,
                        stopped: Vec::new(),
                        draw: own.map(|l| l.number("draw")),
                    });
                }
                RigAction::Ended(place, killed) => {
                    if let Some(n) = last(place, &mut processes) {
                        processes[n].ended = Some((*at, *killed));
                    }
                }
                RigAction::Stopped(place) => {
                    if let Some(n) = last(place, &mut processes) {
                        processes[n].stopped.push((*at, Nanos::MAX));
                    }
                }
                RigAction::Resumed(place) => {
                    if let Some(n) = last(place, &mut processes) {
                        processes[n].stopped.iter_mut().for_each(|s| s.1 = s.1.min(*at));
                    }
                }
                RigAction::Cut(pairs) => cuts.push((*at, pairs.clone())),
            }
        }
        Checker { history, processes, cuts, end }
    }

    fn cut(&self, at: Nanos) -> &BTreeSet<(usize, usize)> {
        let n = self.cuts.partition_point(|c| c.0 <= at).max(1) - 1;
        &self.cuts[n].1
    }

    /// Whether a probe and its answer can pass between two places at this time, directly or through a third process
    /// that runs.
    fn reachable(&self, from: usize, to: usize, at: Nanos) -> bool {
        let cut = self.cut(at);
        let passes = |a, b| !cut.contains(&(a, b));
        let both = |a, b| passes(a, b) && passes(b, a);
        let third = |p: &Process| {
            p.place != from && p.place != to && p.is_running(at) && both(from, p.place) && both(p.place, to)
        };
        both(from, to) || self.processes.iter().any(third)
    }

    /// The process that logged a line.
    fn writer(&self, line: &Line) -> Option<&Process> {
        self.processes.iter().filter(|p| p.place == line.place).nth(line.start)
    }

    /// The lines that a process logged.
    fn lines_of<'b>(&'b self, p: &'b Process) -> impl Iterator<Item = &'b Line> + 'b {
        let here = self.processes.iter().filter(|o| o.place == p.place);
        let start = here.take_while(|o| !std::ptr::eq(*o, p)).count();
        self.history.lines.iter().filter(move |l| (l.place, l.start) == (p.place, start))
    }

    /// Verdicts on members that were running and reachable at some time between 2 s and 0.2 s before the verdict.
    pub fn false_verdicts(&self) -> Vec<String> {
        let mut found = Vec::new();
        for line in self.history.lines.iter().filter(|l| l.kind == "verdict") {
            let (Some(by), Some(on)) =
                (self.writer(line), self.processes.iter().find(|p| p.draw == Some(line.number("draw"))))
            else {
                found.push(format!("a verdict on {:?}, which the rig never started", line.text("member")));
                continue;
            };
            let reached = |at: Nanos| on.is_running(at) && self.reachable(by.place, on.place, at);
            let span = TOLERATED_OUTAGE.as_nanos() as u64;
            // The last 200 ms before the verdict are not sampled, since a fault may have ended just then.
            let mut at = line.at.saturating_sub(span);
            while at + 4 * SAMPLE_INTERVAL < line.at {
                if reached(at) {
                    let ms = (line.at - at) / 1_000_000;
                    found.push(format!(
                        "n{} declared {} at place {} dead, which was running and reachable {ms} ms before",
                        by.place, on.name, on.place
                    ));
                    break;
                }
                at += SAMPLE_INTERVAL;
            }
        }
        found
    }

    /// Deaths by kill that some process did not learn of within the bound, although it ran all the time. A kill while a
    /// link was cut is left out; a cut that begins after the kill does not excuse a late detection.
    pub fn missed_deaths(&self, bound: Duration) -> Vec<String> {
        let mut found = Vec::new();
        for (dead, killed, until, by, took) in self.deaths() {
            match took {
                Some(took) if took <= bound => {}
                _ if until < killed + bound.as_nanos() as u64 => {}
                took => found.push(format!(
                    "n{by} learned of {}'s death after {took:?}, not within {bound:?}",
                    self.processes[dead].name
                )),
            }
        }
        found
    }

    /// Time from each death until each survivor knew of it.
    pub fn detections(&self) -> Vec<Duration> {
        self.deaths().into_iter().filter_map(|d| d.4).collect()
    }

    /// Each death by kill, paired with each process that ran for the next 30 s, or to the end or the next start under
    /// the dead member's name, and how long that process took to learn of it. Kills at a time when some link was cut are
    /// left out.
    fn deaths(&self) -> Vec<(usize, Nanos, Nanos, usize, Option<Duration>)> {
        let mut all = Vec::new();
        for (n, dead) in self.processes.iter().enumerate() {
            let Some((killed, true)) = dead.ended else { continue };
            let restart = self.processes.iter().filter(|p| p.name == dead.name && p.started >= killed);
            let restart = restart.map(|p| p.started).min().unwrap_or(self.end);
            let until = (killed + 30_000_000_000).min(self.end).min(restart);
            let cut =
                self.cuts.iter().any(|c| !c.1.is_empty() && c.0 <= until) && !self.cut(killed).is_empty();
            if cut {
                continue;
            }
            for by in
                self.processes.iter().filter(|p| p.place != dead.place && p.ran_throughout(killed, until))
            {
                let knows = |l: &&Line| {
                    let of = (killed..until).contains(&l.at) && matches!(l.kind.as_str(), "verdict" | "dead");
                    of && dead.draw == Some(l.number("draw"))
                };
                let known = self.lines_of(by).find(knows).map(|l| l.at);
                all.push((n, killed, until, by.place, known.map(|at| Duration::from_nanos(at - killed))));
            }
        }
        all
    }

    /// Running processes whose logged view differs from the set of running processes, one text per difference. Empty if
    /// all agree.
    pub fn disagreements(&self) -> Vec<String> {
        let yielded = |p: &Process| self.lines_of(p).any(|l| l.kind == "yielded");
        let running: Vec<&Process> =
            self.processes.iter().filter(|p| p.is_running(self.end) && !yielded(p)).collect();
        let mut found = Vec::new();
        for p in &running {
            let mut view: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
            for l in self.lines_of(p) {
                let state = match l.kind.as_str() {
                    "joined" | "returned" | "cleared" => "alive",
                    "suspected" => "suspect",
                    "verdict" | "dead" => "dead",
                    "left" => "left",
                    _ => continue,
                };
                view.insert(l.text("member"), (state, l.number("draw")));
            }
            for other in running.iter().filter(|o| o.name != p.name) {
                match view.get(other.name.as_str()) {
                    Some(("alive", draw)) if Some(*draw) == other.draw => {}
                    view => found.push(format!("n{} holds {}, which runs, as {view:?}", p.place, other.name)),
                }
            }
            for (name, (state, _)) in view {
                if matches!(state, "alive" | "suspect") && !running.iter().any(|o| o.name == name) {
                    found.push(format!("n{} holds {name}, which is gone, as {state}", p.place));
                }
            }
        }
        found
    }

    /// Number of events of this kind that processes at a place logged.
    pub fn count_events(&self, place: usize, kind: &str) -> usize {
        self.history.lines.iter().filter(|l| l.place == place && l.kind == kind).count()
    }

    /// Events in which a process announced a lower incarnation than before.
    pub fn incarnation_regressions(&self) -> Vec<String> {
        let mut last: BTreeMap<(usize, usize), u64> = BTreeMap::new();
        let mut found = Vec::new();
        for l in self.history.lines.iter().filter(|l| matches!(l.kind.as_str(), "refuted" | "held_up")) {
            let incarnation = l.number("incarnation");
            let before = last.insert((l.place, l.start), incarnation).unwrap_or(0);
            if incarnation < before {
                found.push(format!("n{} went from incarnation {before} back to {incarnation}", l.place));
            }
        }
        found
    }

    /// The most verdicts that one process reached on one member.
    pub fn max_verdicts_per_member(&self) -> usize {
        let mut counts: BTreeMap<(usize, &str), usize> = BTreeMap::new();
        for l in self.history.lines.iter().filter(|l| l.kind == "verdict") {
            *counts.entry((l.place, l.text("member"))).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }

    /// How unevenly the running processes are placed on the ring: the widest gap between neighbours relative to the
    /// mean gap. None if a process has not logged its position.
    pub fn ring_unevenness(&self) -> Option<f64> {
        let running = self.processes.iter().filter(|p| p.is_running(self.end));
        let last =
            |p: &Process| self.lines_of(p).filter(|l| l.kind == "place").last()?.fields.get("at")?.as_f64();
        let mut places = running.map(last).collect::<Option<Vec<f64>>>()?;
        places.sort_by(f64::total_cmp);
        let round = places.first()? + 1.0;
        let next = places.iter().skip(1).chain([&round]);
        let widest = places.iter().zip(next).map(|(a, b)| b - a).fold(0.0, f64::max);
        Some(widest * places.len() as f64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000_000;

    fn line(at: u64, place: usize, kind: &str, fields: &[(&str, u64)]) -> Line {
        let mut map = serde_json::Map::new();
        for (key, value) in fields {
            map.insert((*key).to_owned(), (*value).into());
        }
        if let Some((_, draw)) = fields.iter().find(|f| f.0 == "draw") {
            map.insert("member".to_owned(), format!("n{}", draw - 1).into());
        }
        Line { at, place, start: 0, kind: kind.to_owned(), fields: map }
    }

    /// Four processes that know each other after a second.
    fn quiet() -> History {
        let mut h = History::default();
        for n in 0..4 {
            h.actions.push((S, RigAction::Started(n, format!("n{n}"))));
            h.lines.push(line(S, n, "listening", &[("draw", n as u64 + 1)]));
            let others = (0..4).filter(|o| *o != n);
            others.for_each(|o| h.lines.push(line(2 * S, n, "joined", &[("draw", o as u64 + 1)])));
        }
        h
    }

    #[test]
    fn a_history_without_faults_has_no_violations() {
        let h = quiet();
        let c = Checker::new(&h, 60 * S);
        assert!(c.false_verdicts().is_empty() && c.missed_deaths(Duration::ZERO).is_empty());
        assert_eq!(c.disagreements(), Vec::<String>::new());
    }

    #[test]
    fn a_verdict_is_false_unless_its_member_has_been_dead_for_long_enough() {
        let mut h = quiet();
        h.lines.push(line(20 * S, 0, "verdict", &[("draw", 2)]));
        assert_eq!(Checker::new(&h, 60 * S).false_verdicts().len(), 1);
        h.actions.push((17 * S, RigAction::Ended(1, true)));
        assert_eq!(Checker::new(&h, 60 * S).false_verdicts().len(), 0);
        // Dead for only half a second.
        h.actions[4].0 = 19 * S + S / 2;
        assert_eq!(Checker::new(&h, 60 * S).false_verdicts().len(), 1);
        // On a member that never existed.
        h.lines.push(line(20 * S, 0, "verdict", &[("draw", 9)]));
        assert_eq!(Checker::new(&h, 60 * S).false_verdicts().len(), 2);
    }

    #[test]
    fn a_pause_excuses_a_verdict_only_while_it_lasts_and_for_long_enough() {
        for (from, to, found) in [(16, 21, 0), (19, 21, 1), (10, 15, 1)] {
            let mut h = quiet();
            h.actions.push((from * S, RigAction::Stopped(1)));
            h.actions.push((to * S, RigAction::Resumed(1)));
            h.lines.push(line(20 * S, 0, "verdict", &[("draw", 2)]));
            assert_eq!(Checker::new(&h, 60 * S).false_verdicts().len(), found, "{from} to {to}");
        }
    }

    #[test]
    fn a_cut_excuses_a_verdict_only_without_an_indirect_path() {
        let one = BTreeSet::from([(1, 0)]);
        let all: BTreeSet<_> = [0, 2, 3].into_iter().map(|to| (1, to)).collect();
        for (cut, found) in [(one, 1), (all, 0)] {
            let mut h = quiet();
            h.actions.push((10 * S, RigAction::Cut(cut)));
            h.lines.push(line(20 * S, 0, "verdict", &[("draw", 2)]));
            assert_eq!(Checker::new(&h, 60 * S).false_verdicts().len(), found);
        }
    }

    #[test]
    fn a_death_that_one_process_misses_is_reported() {
        let mut h = quiet();
        h.actions.push((10 * S, RigAction::Ended(3, true)));
        h.lines.push(line(14 * S, 0, "verdict", &[("draw", 4)]));
        h.lines.push(line(15 * S, 1, "dead", &[("draw", 4)]));
        let missing = Checker::new(&h, 60 * S).missed_deaths(Duration::from_secs(10));
        assert!(missing.len() == 1 && missing[0].contains("n2 "), "{missing:?}");
        assert_eq!(Checker::new(&h, 60 * S).missed_deaths(Duration::from_millis(4500)).len(), 2);
        assert_eq!(Checker::new(&h, 60 * S).disagreements().len(), 1, "n2 still lists it");
        h.lines.push(line(16 * S, 2, "dead", &[("draw", 4)]));
        let c = Checker::new(&h, 60 * S);
        assert!(c.missed_deaths(Duration::from_secs(10)).is_empty() && c.disagreements().is_empty());
    }

    #[test]
    fn stale_incarnations_and_incarnation_regressions_are_reported() {
        let mut h = quiet();
        h.lines.push(line(5 * S, 1, "refuted", &[("incarnation", 4)]));
        h.lines.push(line(6 * S, 1, "refuted", &[("incarnation", 3)]));
        assert_eq!(Checker::new(&h, 60 * S).incarnation_regressions().len(), 1);
        h.actions.push((10 * S, RigAction::Ended(3, true)));
        h.actions.push((11 * S, RigAction::Started(3, "n3".to_owned())));
        let mut restart = line(11 * S, 3, "listening", &[("draw", 77)]);
        restart.start = 1;
        h.lines.push(restart);
        let found = Checker::new(&h, 60 * S).disagreements();
        assert_eq!(found.iter().filter(|w| w.contains("holds n3")).count(), 3, "{found:?}");
    }

    #[test]
    fn adjacent_ring_positions_are_uneven() {
        let mut h = quiet();
        assert_eq!(Checker::new(&h, 60 * S).ring_unevenness(), None, "no position was logged");
        for (n, at) in [0.0, 0.25, 0.5, 0.75].into_iter().enumerate() {
            let mut l = line(3 * S, n, "place", &[]);
            l.fields.insert("at".to_owned(), at.into());
            h.lines.push(l);
        }
        assert_eq!(Checker::new(&h, 60 * S).ring_unevenness(), Some(1.0));
        h.lines.last_mut().expect("four").fields.insert("at".to_owned(), 0.5.into());
        assert_eq!(Checker::new(&h, 60 * S).ring_unevenness(), Some(2.0));
    }
}

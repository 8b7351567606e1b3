//! Results of a run: what was requested, what ran where, what was answered, and the tables printed from that.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Outcome of an order for the client that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Served after this time, retries included.
    Served(Duration),
    /// Refused, with no time left for another attempt.
    Refused,
    /// Answered without a promise that nothing ran, or the connection broke.
    Failed,
    /// No answer within the client's time limit, which a node must never cause.
    Unanswered,
}

/// Results of one class of orders.
#[derive(Clone, Debug)]
pub struct ClassResults {
    /// Name of the class.
    pub name: String,
    /// An answer within this time counts as in time.
    pub promise: Duration,
    /// Orders sent.
    pub asked: u64,
    /// Orders served, but late.
    pub late: u64,
    /// Orders refused at their last attempt.
    pub refused: u64,
    /// Orders failed at their last attempt.
    pub failed: u64,
    /// Orders never answered. Must be 0.
    pub unanswered: u64,
    /// Latencies of the orders served.
    pub latencies: Vec<Duration>,
    /// Runs beyond the first run of each order. Must be 0 unless the class is repeatable.
    pub run_twice: u64,
    /// Whether orders may run more than once: further runs are then wasted work and no violation.
    pub repeatable: bool,
    runs: HashMap<u64, u32>,
}

/// Results of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerResults {
    /// Orders whose work began at this server.
    pub runs: u64,
    /// Orders turned away before any work.
    pub turned_away: u64,
    /// Probes answered.
    pub probes: u64,
    /// Longest queue.
    pub max_waiting: usize,
    /// Core-seconds of work begun.
    pub work: f64,
    /// Number of process starts.
    pub starts: u32,
    /// Times the server was overloaded until it collapsed while cold. Must be 0.
    pub fallen: u32,
}

/// Results of a whole run.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// By class.
    pub classes: Vec<ClassResults>,
    /// By server.
    pub servers: Vec<ServerResults>,
    /// Length of the run in seconds and cores of each server, from which the servers' utilization is computed.
    pub span: (f64, usize),
}

impl Results {
    /// Creates empty results for classes (name, promise, repeatable) and servers.
    pub fn new(classes: impl IntoIterator<Item = (String, Duration, bool)>, servers: usize) -> Self {
        let class = |(name, promise, repeatable)| ClassResults {
            name,
            promise,
            asked: 0,
            late: 0,
            refused: 0,
            failed: 0,
            unanswered: 0,
            latencies: Vec::new(),
            run_twice: 0,
            repeatable,
            runs: HashMap::new(),
        };
        Results {
            classes: classes.into_iter().map(class).collect(),
            servers: vec![ServerResults::default(); servers],
            span: (1.0, 1),
        }
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, class: usize, end: OrderOutcome) {
        let results = &mut self.classes[class];
        match end {
            OrderOutcome::Served(latency) => {
                results.late += u64::from(latency > results.promise);
                results.latencies.push(latency);
            }
            OrderOutcome::Refused => results.refused += 1,
            OrderOutcome::Failed => results.failed += 1,
            OrderOutcome::Unanswered => results.unanswered += 1,
        }
    }

    /// Records that work on an order has begun at a server.
    pub fn record_run(&mut self, server: usize, class: usize, order: u64, work: f64) {
        self.servers[server].runs += 1;
        self.servers[server].work += work;
        let results = &mut self.classes[class];
        let runs = results.runs.entry(order).or_default();
        *runs += 1;
        results.run_twice += u64::from(*runs > 1);
    }

    /// Violations of what must always hold: each order has exactly one outcome and an answer, orders that must not be
    /// repeated ran once, and no cold server collapsed.
    pub fn violations(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for class in &self.classes {
            let ended = class.latencies.len() as u64 + class.refused + class.failed + class.unanswered;
            if class.unanswered > 0 {
                faults.push(format!("{}: {} never answered", class.name, class.unanswered));
            }
            if ended != class.asked {
                faults.push(format!("{}: {} asked and {ended} ended", class.name, class.asked));
            }
            if class.run_twice > 0 && !class.repeatable {
                faults.push(format!("{}: {} run twice", class.name, class.run_twice));
            }
        }
        for (n, _) in self.servers.iter().enumerate().filter(|s| s.1.fallen > 0) {
            faults.push(format!("s{n}: pushed over while cold"));
        }
        faults
    }

    /// Totals so far: asked, in time, late, refused, failed.
    pub fn totals(&self) -> [u64; 5] {
        self.classes.iter().fold([0; 5], |t, c| {
            let served = c.latencies.len() as u64;
            let class = [c.asked, served - c.late, c.late, c.refused, c.failed + c.unanswered];
            std::array::from_fn(|k| t[k] + class[k])
        })
    }
}

/// The quantile `part` of sorted values.
fn quantile(sorted: &[Duration], part: f64) -> Duration {
    let at = (sorted.len() as f64 * part) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

impl fmt::Display for Results {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let header = ["class", "asked", "in time", "late", "refused", "failed", "unanswered", "run twice"];
        write!(f, "{:<12}", header[0])?;
        header[1..].iter().try_for_each(|h| write!(f, "{h:>11}"))?;
        writeln!(f, "{:>10}{:>10}", "p50 ms", "p99 ms")?;
        for c in &self.classes {
            let mut sorted = c.latencies.clone();
            sorted.sort_unstable();
            let served = sorted.len() as u64;
            write!(f, "{:<12}", c.name)?;
            for n in [c.asked, served - c.late, c.late, c.refused, c.failed, c.unanswered, c.run_twice] {
                write!(f, "{n:>11}")?;
            }
            let ms = |part| quantile(&sorted, part).as_secs_f64() * 1e3;
            writeln!(f, "{:>10.1}{:>10.1}", ms(0.5), ms(0.99))?;
        }
        writeln!(f)?;
        writeln!(
            f,
            "{:<8}{:>9}{:>8}{:>13}{:>14}{:>9}{:>8}{:>8}",
            "server", "runs", "load", "turned away", "most waiting", "probes", "starts", "fallen"
        )?;
        for (n, s) in self.servers.iter().enumerate() {
            let load = s.work / (self.span.0 * self.span.1 as f64);
            writeln!(
                f,
                "{:<8}{:>9}{:>8.2}{:>13}{:>14}{:>9}{:>8}{:>8}",
                format!("s{n}"),
                s.runs,
                load,
                s.turned_away,
                s.max_waiting,
                s.probes,
                s.starts,
                s.fallen
            )?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against checks that never report anything, which would void every test that asserts on them.
    #[test]
    fn each_violation_is_reported() {
        let empty_results = || Results::new([("buy".into(), Duration::from_millis(9), false)], 2);
        let served = OrderOutcome::Served(Duration::from_millis(3));
        let mut fine = empty_results();
        fine.classes[0].asked = 2;
        (0..2).for_each(|order| fine.record_run(0, 0, order, 0.1));
        (0..2).for_each(|_| fine.record_outcome(0, served));
        assert_eq!(fine.violations(), Vec::<String>::new());

        let mut twice = fine.clone();
        twice.record_run(1, 0, 1, 0.1);
        assert_eq!(twice.violations(), ["buy: 1 run twice"]);
        let mut silent = empty_results();
        silent.classes[0].asked = 1;
        silent.record_outcome(0, OrderOutcome::Unanswered);
        assert_eq!(silent.violations(), ["buy: 1 never answered"]);
        let mut lost = fine.clone();
        lost.classes[0].asked = 3;
        assert_eq!(lost.violations(), ["buy: 3 asked and 2 ended"]);
        let mut fallen = fine;
        fallen.servers[1].fallen = 1;
        assert_eq!(fallen.violations(), ["s1: pushed over while cold"]);
    }
}

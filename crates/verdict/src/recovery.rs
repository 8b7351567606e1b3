//! Ejected servers, and how they return: by the outcomes of the trickle that they still get, not by the absence of evidence alone.

use crate::detection::VerdictSettings;
use crate::evidence::{counts_at, strongest_report, OutlierKind};
use crate::outcomes::AttemptCounts;
use birchswitch_mesh::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// From the last evidence against a server until good outcomes of its trickle begin to raise its share.
const RECOVERY_DELAY: Duration = Duration::from_secs(3);
/// The same where the trickle has had no outcome at all.
const RECOVERY_DELAY_WITHOUT_OUTCOMES: Duration = Duration::from_secs(30);
/// The factor by which its share grows with each evaluation after that.
const GROWTH: f64 = 1.5;

/// The state of an ejected server.
#[derive(Clone, Copy, Debug)]
struct EjectionState {
    kind: OutlierKind,
    /// When there was evidence against it last.
    last_evidence: Time,
    /// The most that it gets, in thousandths of a mean share.
    open: u16,
    strength: f64,
}

/// All ejected servers.
#[derive(Clone, Debug, Default)]
pub struct EjectionRecord(BTreeMap<u64, EjectionState>);

impl EjectionRecord {
    /// Ejects a server, or renews its ejection.
    pub(crate) fn eject(
        &mut self,
        server: u64,
        kind: OutlierKind,
        last_evidence: Time,
        open: u16,
        strength: f64,
    ) {
        self.0.insert(server, EjectionState { kind, last_evidence, open, strength });
    }

    /// Raises the shares of servers without recent evidence, and drops those with a full share. Evidence from the trickle alone is enough
    /// to keep a server ejected: otherwise one that still fails would return after each delay and be tried again by all nodes.
    pub(crate) fn recover(
        &mut self,
        settings: &VerdictSettings,
        now: Time,
        reports: &[&[(u64, AttemptCounts)]],
    ) {
        for (server, s) in &mut self.0 {
            // The evidence of a single node neither ejects a server nor keeps it ejected.
            let strongest = strongest_report(s.kind, *server, reports);
            let others = reports.iter().enumerate().filter(|(n, _)| Some(*n) != strongest);
            let outcomes = others
                .fold(AttemptCounts::default(), |sum, (_, report)| sum.plus(counts_at(*server, report)));
            let threshold = if s.kind == OutlierKind::Failing {
                settings.failed_fraction
            } else {
                settings.late_fraction
            };
            let bad = f64::from(s.kind.of(&outcomes)) > threshold * f64::from(outcomes.attempts);
            let delay = if outcomes.attempts == 0 { RECOVERY_DELAY_WITHOUT_OUTCOMES } else { RECOVERY_DELAY };
            if bad {
                s.last_evidence = now;
            } else if now >= s.last_evidence + delay {
                s.open = (f64::from(s.open) * GROWTH).min(1000.0) as u16;
            }
        }
        self.0.retain(|_, s| s.open < 1000);
    }

    /// Each ejected server, the most that it gets, and the strength of the evidence.
    pub(crate) fn all(&self) -> impl Iterator<Item = (u64, u16, f64)> + '_ {
        self.0.iter().map(|(server, s)| (*server, s.open, s.strength))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::detection::detect_outliers;

    const SETTINGS: VerdictSettings =
        VerdictSettings { max_ejected_fraction: 0.3, ..VerdictSettings::DEFAULT };

    /// Evaluates the reports of three nodes on server 1 and a healthy server once a second. Returns the share of server 1 after each.
    fn shares(
        seconds: std::ops::Range<u64>,
        outcomes: [(u32, u32); 3],
        record: &mut EjectionRecord,
    ) -> Vec<u16> {
        let look = |second| {
            let report = |(attempts, failed)| {
                vec![
                    (1, AttemptCounts { attempts, failed, late: 0 }),
                    (2, AttemptCounts { attempts: 30, failed: 0, late: 0 }),
                ]
            };
            let reports = outcomes.map(report);
            let reports: Vec<&[(u64, AttemptCounts)]> = reports.iter().map(Vec::as_slice).collect();
            let ejections = detect_outliers(&SETTINGS, record, Time::from_secs(second), 10, &reports);
            ejections.first().map_or(1000, |s| s.open)
        };
        seconds.map(look).collect()
    }

    /// With a trickle few nodes have outcomes at a time: too few to eject the server again, but they must not let it return either.
    #[test]
    fn failures_of_the_trickle_keep_a_server_ejected_and_successes_readmit_it() {
        let mut record = EjectionRecord::default();
        assert_eq!(shares(0..1, [(9, 9); 3], &mut record), [50]);
        // Two nodes still have outcomes: one without the strongest report.
        assert!(shares(1..20, [(1, 1), (1, 1), (0, 0)], &mut record).iter().all(|open| *open == 50));
        let served = shares(20..40, [(1, 0), (1, 0), (0, 0)], &mut record);
        assert_eq!((served[0], served[1], *served.last().expect("some")), (50, 50, 1000));
    }

    /// Evidence of one node, whose network may be at fault, keeps no server ejected, and without any outcomes it returns in the end.
    #[test]
    fn one_node_keeps_no_server_ejected_and_missing_outcomes_not_for_ever() {
        let mut record = EjectionRecord::default();
        shares(0..1, [(9, 9); 3], &mut record);
        assert_eq!(shares(1..20, [(5, 5), (2, 0), (2, 0)], &mut record).last(), Some(&1000));
        shares(20..21, [(9, 9); 3], &mut record);
        let no_outcomes = shares(21..60, [(0, 0); 3], &mut record);
        assert_eq!((no_outcomes[27], *no_outcomes.last().expect("some")), (50, 1000));
    }
}

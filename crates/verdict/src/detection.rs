//! Which servers fail, by what all nodes of a zone met in the same seconds.

use crate::evidence::{against, OutlierKind};
use crate::message::Ejection;
use crate::outcomes::AttemptCounts;
use crate::recovery::EjectionRecord;
use birchswitch_mesh::Time;
use std::time::Duration;

/// How open a server stays that is late, in thousandths: it does some good.
const LATE_OPEN: u16 = 300;

/// What an operator settled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VerdictSettings {
    /// Between two reports of a node, and two looks.
    pub renew: Duration,
    /// For how long a word is obeyed, by the node's clock from before it asked.
    pub ttl: Duration,
    /// A server that surely fails for a greater part of its attempts is condemned.
    pub failed_fraction: f64,
    /// One that surely answers late for a greater part of them, likewise.
    pub late_fraction: f64,
    /// Thousandths of a mean share that a condemned server gets all the same.
    pub trickle: u16,
    /// The greatest part of all servers that may be withheld at a time.
    pub max_ejected_fraction: f64,
    /// All on but in tests.
    pub safeguards: Safeguards,
}

impl VerdictSettings {
    /// Where an operator's file says nothing.
    pub const DEFAULT: VerdictSettings = VerdictSettings {
        renew: Duration::from_millis(500),
        ttl: Duration::from_secs(3),
        failed_fraction: 0.2,
        late_fraction: 0.5,
        trickle: 50,
        max_ejected_fraction: 0.25,
        safeguards: Safeguards::ALL,
    };
}

/// What tests take away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Evidence decides; without it every second server is condemned.
    pub evidence: bool,
    /// No more than the stated part is withheld.
    pub ejection_cap: bool,
    /// Lower numbers are not obeyed after higher ones.
    pub reject_stale: bool,
}

impl Safeguards {
    /// All of them.
    pub const ALL: Safeguards = Safeguards { evidence: true, ejection_cap: true, reject_stale: true };
}

/// Looks at what nodes reported last, and says how far each server that is condemned stays open: the worst first, no more of them than may
/// be withheld of so many that are listed.
pub fn detect_outliers(
    terms: &VerdictSettings,
    record: &mut EjectionRecord,
    now: Time,
    listed: usize,
    reports: &[&[(u64, AttemptCounts)]],
) -> Vec<Ejection> {
    let mut servers: Vec<u64> = reports.iter().flat_map(|r| r.iter().map(|c| c.0)).collect();
    servers.sort_unstable();
    servers.dedup();
    for (n, server) in servers.iter().enumerate() {
        let fails = against(OutlierKind::Failing, terms.failed_fraction, *server, reports);
        let late = against(OutlierKind::Late, terms.late_fraction, *server, reports);
        let planted = !terms.safeguards.evidence && n % 2 == 0;
        if fails > 0.0 || planted {
            let surely = fails.max(f64::from(u8::from(planted)));
            record.condemn(*server, OutlierKind::Failing, now, terms.trickle, surely);
        } else if late > 0.0 {
            record.condemn(*server, OutlierKind::Late, now, LATE_OPEN.max(terms.trickle), late);
        }
    }
    record.open(terms, now, reports);
    let mut all: Vec<(u64, u16, f64)> = record.all().collect();
    all.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
    if terms.safeguards.ejection_cap {
        all.truncate(max_ejected(terms.max_ejected_fraction, listed));
    }
    all.into_iter().map(|(server, open, _)| Ejection { server, open }).collect()
}

/// How many of so many servers may be withheld at a time.
pub fn max_ejected(most: f64, listed: usize) -> usize {
    (most * listed as f64 + 1e-9).floor() as usize
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const TERMS: VerdictSettings = VerdictSettings { max_ejected_fraction: 0.3, ..VerdictSettings::DEFAULT };

    fn counts(attempts: u32, failed: u32) -> AttemptCounts {
        AttemptCounts { attempts, failed, late: 0 }
    }

    /// Reports of nodes, a row each: attempts and failures at servers 1, 2, 3 and so on.
    fn condemned(rows: &[&[(u32, u32)]]) -> Vec<u64> {
        let report = |row: &&[(u32, u32)]| {
            row.iter().enumerate().map(|(n, c)| (n as u64 + 1, counts(c.0, c.1))).collect::<Vec<_>>()
        };
        let reports: Vec<Vec<(u64, AttemptCounts)>> = rows.iter().map(report).collect();
        let reports: Vec<&[(u64, AttemptCounts)]> = reports.iter().map(Vec::as_slice).collect();
        let ejections =
            detect_outliers(&TERMS, &mut EjectionRecord::default(), Time::from_secs(1), 10, &reports);
        ejections.iter().map(|s| s.server).collect()
    }

    #[test]
    fn three_nodes_that_agree_condemn_and_one_alone_never_does() {
        let bad: &[(u32, u32)] = &[(20, 18), (20, 0), (20, 1)];
        let fine: &[(u32, u32)] = &[(10, 0), (10, 0), (10, 0)];
        assert_eq!(condemned(&[bad, bad, bad]), [1]);
        assert_eq!(condemned(&[bad, bad]), [0u64; 0]);
        assert_eq!(condemned(&[bad, fine, fine, fine]), [0u64; 0], "its road");
        assert_eq!(condemned(&[&[(10_000, 10_000), (10, 0)], fine, fine]), [0u64; 0]);
    }

    #[test]
    fn what_fails_everywhere_alike_is_no_verdict() {
        let broken: &[(u32, u32)] = &[(10, 9), (10, 9), (10, 8), (10, 9)];
        assert_eq!(condemned(&[broken; 5]), [0u64; 0]);
        let noisy: &[(u32, u32)] = &[(10, 2), (10, 1), (10, 0), (10, 1)];
        assert_eq!(condemned(&[noisy; 5]), [0u64; 0]);
    }

    #[test]
    fn who_answers_late_stays_half_open_and_opens_by_and_by() {
        let late = |late| AttemptCounts { attempts: 10, failed: 0, late };
        let report: &[(u64, AttemptCounts)] = &[(1, late(9)), (2, late(0)), (3, late(1))];
        let mut record = EjectionRecord::default();
        let ejections = detect_outliers(&TERMS, &mut record, Time::from_secs(1), 10, &[report; 4]);
        assert_eq!(ejections, [Ejection { server: 1, open: LATE_OPEN }]);
        let well: &[(u64, AttemptCounts)] = &[(1, late(0)), (2, late(0))];
        assert_eq!(
            detect_outliers(&TERMS, &mut record, Time::from_secs(3), 10, &[well; 4])[0].open,
            LATE_OPEN
        );
        assert!(detect_outliers(&TERMS, &mut record, Time::from_secs(4), 10, &[well; 4])[0].open > LATE_OPEN);
        let mut last = Vec::new();
        (5..12).for_each(|s| last = detect_outliers(&TERMS, &mut record, Time::from_secs(s), 10, &[well; 4]));
        assert_eq!(last, []);
    }

    proptest! {
        /// With nothing wrong but chance, hardly ever anybody is condemned; and never more than may be withheld, whatever is told.
        #[test]
        fn never_more_than_the_ration(
            rows in prop::collection::vec(prop::collection::vec((1u32..40, 0u32..40), 10), 1..8),
        ) {
            let reports: Vec<Vec<(u64, AttemptCounts)>> = rows.iter().map(|row| {
                row.iter().enumerate().map(|(n, (t, f))| (n as u64, counts(*t, (*f).min(*t)))).collect()
            }).collect();
            let reports: Vec<&[(u64, AttemptCounts)]> = reports.iter().map(Vec::as_slice).collect();
            let ejections = detect_outliers(&TERMS, &mut EjectionRecord::default(), Time::from_secs(1), 10, &reports);
            prop_assert!(ejections.len() <= 3);
            prop_assert!(ejections.iter().all(|s| s.open >= TERMS.trickle));
        }
    }
}

//! Detects outliers among the servers, from the outcomes at all nodes of a zone in the same seconds.

use crate::evidence::{outlier_fraction, OutlierKind};
use crate::message::Ejection;
use crate::outcomes::AttemptCounts;
use crate::recovery::EjectionRecord;
use birchswitch_mesh::Time;
use std::time::Duration;

/// What an ejected server that is late gets, in thousandths of a mean share: its responses are still of use.
const LATE_SERVER_SHARE: u16 = 300;

/// The operator's settings, validated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VerdictSettings {
    /// The interval between a node's reports, and between two evaluations.
    pub renew: Duration,
    /// How long an ejection list is valid by the node's clock, counted from before the node sent its request.
    pub ttl: Duration,
    /// A server is ejected if the confidence bound of its fraction of failed attempts exceeds this.
    pub failed_fraction: f64,
    /// The same for its fraction of late responses.
    pub late_fraction: f64,
    /// What an ejected server still gets, in thousandths of a mean share.
    pub trickle: u16,
    /// The largest fraction of all servers that may be ejected at a time.
    pub max_ejected_fraction: f64,
    /// All are on except in tests.
    pub safeguards: Safeguards,
}

impl VerdictSettings {
    /// The defaults of the `[verdicts]` table.
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

/// The rules on which the guarantees rest. Only tests turn them off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Ejections need evidence. If off, every second server is ejected.
    pub evidence: bool,
    /// At most the configured fraction of the servers is ejected.
    pub ejection_cap: bool,
    /// Nodes ignore lists with a lower version than the highest that they have seen.
    pub reject_stale: bool,
}

impl Safeguards {
    /// All safeguards on.
    pub const ALL: Safeguards = Safeguards { evidence: true, ejection_cap: true, reject_stale: true };
}

/// Evaluates the nodes' latest reports. Returns the ejected servers, those with the strongest evidence first, and no more than the settings
/// allow of `listed` servers.
pub fn detect_outliers(
    settings: &VerdictSettings,
    record: &mut EjectionRecord,
    now: Time,
    listed: usize,
    reports: &[&[(u64, AttemptCounts)]],
) -> Vec<Ejection> {
    let mut servers: Vec<u64> = reports.iter().flat_map(|r| r.iter().map(|c| c.0)).collect();
    servers.sort_unstable();
    servers.dedup();
    for (n, server) in servers.iter().enumerate() {
        let failing = outlier_fraction(OutlierKind::Failing, settings.failed_fraction, *server, reports);
        let late = outlier_fraction(OutlierKind::Late, settings.late_fraction, *server, reports);
        let forced = !settings.safeguards.evidence && n % 2 == 0;
        if failing > 0.0 || forced {
            let strength = failing.max(f64::from(u8::from(forced)));
            record.eject(*server, OutlierKind::Failing, now, settings.trickle, strength);
        } else if late > 0.0 {
            record.eject(*server, OutlierKind::Late, now, LATE_SERVER_SHARE.max(settings.trickle), late);
        }
    }
    record.recover(settings, now, reports);
    let mut all: Vec<(u64, u16, f64)> = record.all().collect();
    all.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
    if settings.safeguards.ejection_cap {
        all.truncate(max_ejected(settings.max_ejected_fraction, listed));
    }
    all.into_iter().map(|(server, open, _)| Ejection { server, open }).collect()
}

/// The most servers of `listed` that may be ejected at a time.
pub fn max_ejected(fraction: f64, listed: usize) -> usize {
    (fraction * listed as f64 + 1e-9).floor() as usize
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const SETTINGS: VerdictSettings =
        VerdictSettings { max_ejected_fraction: 0.3, ..VerdictSettings::DEFAULT };

    fn counts(attempts: u32, failed: u32) -> AttemptCounts {
        AttemptCounts { attempts, failed, late: 0 }
    }

    /// The servers ejected by these reports: a row for each node, with attempts and failures at servers 1, 2, 3 and so on.
    fn ejected(rows: &[&[(u32, u32)]]) -> Vec<u64> {
        let report = |row: &&[(u32, u32)]| {
            row.iter().enumerate().map(|(n, c)| (n as u64 + 1, counts(c.0, c.1))).collect::<Vec<_>>()
        };
        let reports: Vec<Vec<(u64, AttemptCounts)>> = rows.iter().map(report).collect();
        let reports: Vec<&[(u64, AttemptCounts)]> = reports.iter().map(Vec::as_slice).collect();
        let ejections =
            detect_outliers(&SETTINGS, &mut EjectionRecord::default(), Time::from_secs(1), 10, &reports);
        ejections.iter().map(|s| s.server).collect()
    }

    #[test]
    fn three_nodes_that_agree_eject_a_server_and_one_alone_never_does() {
        let failing: &[(u32, u32)] = &[(20, 18), (20, 0), (20, 1)];
        let healthy: &[(u32, u32)] = &[(10, 0), (10, 0), (10, 0)];
        assert_eq!(ejected(&[failing, failing, failing]), [1]);
        assert_eq!(ejected(&[failing, failing]), [0u64; 0]);
        assert_eq!(
            ejected(&[failing, healthy, healthy, healthy]),
            [0u64; 0],
            "the node's network may be at fault"
        );
        assert_eq!(ejected(&[&[(10_000, 10_000), (10, 0)], healthy, healthy]), [0u64; 0]);
    }

    #[test]
    fn failures_at_all_servers_alike_eject_none() {
        let broken: &[(u32, u32)] = &[(10, 9), (10, 9), (10, 8), (10, 9)];
        assert_eq!(ejected(&[broken; 5]), [0u64; 0]);
        let noisy: &[(u32, u32)] = &[(10, 2), (10, 1), (10, 0), (10, 1)];
        assert_eq!(ejected(&[noisy; 5]), [0u64; 0]);
    }

    #[test]
    fn a_late_server_keeps_part_of_its_share_and_recovers_in_steps() {
        let late = |late| AttemptCounts { attempts: 10, failed: 0, late };
        let report: &[(u64, AttemptCounts)] = &[(1, late(9)), (2, late(0)), (3, late(1))];
        let mut record = EjectionRecord::default();
        let ejections = detect_outliers(&SETTINGS, &mut record, Time::from_secs(1), 10, &[report; 4]);
        assert_eq!(ejections, [Ejection { server: 1, open: LATE_SERVER_SHARE }]);
        let good: &[(u64, AttemptCounts)] = &[(1, late(0)), (2, late(0))];
        assert_eq!(
            detect_outliers(&SETTINGS, &mut record, Time::from_secs(3), 10, &[good; 4])[0].open,
            LATE_SERVER_SHARE
        );
        assert!(
            detect_outliers(&SETTINGS, &mut record, Time::from_secs(4), 10, &[good; 4])[0].open
                > LATE_SERVER_SHARE
        );
        let mut last = Vec::new();
        (5..12)
            .for_each(|s| last = detect_outliers(&SETTINGS, &mut record, Time::from_secs(s), 10, &[good; 4]));
        assert_eq!(last, []);
    }

    proptest! {
        /// Whatever is reported, no more servers are ejected than the settings allow, and each keeps its trickle.
        #[test]
        fn never_more_ejections_than_allowed(
            rows in prop::collection::vec(prop::collection::vec((1u32..40, 0u32..40), 10), 1..8),
        ) {
            let reports: Vec<Vec<(u64, AttemptCounts)>> = rows.iter().map(|row| {
                row.iter().enumerate().map(|(n, (t, f))| (n as u64, counts(*t, (*f).min(*t)))).collect()
            }).collect();
            let reports: Vec<&[(u64, AttemptCounts)]> = reports.iter().map(Vec::as_slice).collect();
            let ejections = detect_outliers(&SETTINGS, &mut EjectionRecord::default(), Time::from_secs(1), 10, &reports);
            prop_assert!(ejections.len() <= 3);
            prop_assert!(ejections.iter().all(|s| s.open >= SETTINGS.trickle));
        }
    }
}

//! Evidence against a server: its outcomes at several nodes, compared with those nodes' outcomes at other servers in the same seconds.

use crate::outcomes::AttemptCounts;
use crate::wilson::interval;

/// The confidence of an ejection, in standard deviations. At 3, two healthy servers were ejected in ten hours in which a tenth of all
/// answers was lost; at 3.5, none (`docs/design/verdicts.md`).
const CONFIDENCE_Z: f64 = 3.5;
/// The least number of nodes with evidence against a server, besides the one with the most.
const MIN_OTHER_NODES: usize = 2;
/// A server has to fail this many times as often as the others.
const MIN_RATIO_TO_PEERS: f64 = 2.0;

/// Why a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutlierKind {
    /// Its responses are errors, or it doesn't respond.
    Failing,
    /// Its responses are late.
    Late,
}

impl OutlierKind {
    /// The number of attempts at a server with such an outcome.
    pub fn of(self, counts: &AttemptCounts) -> u32 {
        match self {
            OutlierKind::Failing => counts.failed,
            OutlierKind::Late => counts.late,
        }
    }
}

/// The outcomes at one server in a node's report.
pub(crate) fn counts_at(server: u64, report: &[(u64, AttemptCounts)]) -> AttemptCounts {
    report.iter().find(|c| c.0 == server).map_or(AttemptCounts::default(), |c| c.1)
}

/// The report with the most evidence against a server. It is left out, since the cause may be that node's network.
pub(crate) fn strongest_report(
    kind: OutlierKind,
    server: u64,
    reports: &[&[(u64, AttemptCounts)]],
) -> Option<usize> {
    let bad = |n: &usize| kind.of(&counts_at(server, reports[*n]));
    (0..reports.len()).max_by_key(bad).filter(|n| bad(n) > 0)
}

/// The lower confidence bound of the fraction of bad outcomes at a server, if it is an outlier among the others; otherwise 0.
pub(crate) fn outlier_fraction(
    kind: OutlierKind,
    threshold: f64,
    server: u64,
    reports: &[&[(u64, AttemptCounts)]],
) -> f64 {
    let Some(strongest) = strongest_report(kind, server, reports) else { return 0.0 };
    let others = || reports.iter().enumerate().filter(|(n, _)| *n != strongest).map(|(_, report)| report);
    let own: Vec<AttemptCounts> = others().map(|report| counts_at(server, report)).collect();
    if own.iter().filter(|c| kind.of(c) > 0).count() < MIN_OTHER_NODES {
        return 0.0;
    }
    let all = own.into_iter().fold(AttemptCounts::default(), AttemptCounts::plus);
    let peers = others().flat_map(|r| r.iter()).filter(|c| c.0 != server);
    let peers = peers.fold(AttemptCounts::default(), |sum, c| sum.plus(c.1));
    let (lower, _) = interval(kind.of(&all).into(), all.attempts.into(), CONFIDENCE_Z);
    let (_, peers_upper) = interval(kind.of(&peers).into(), peers.attempts.into(), CONFIDENCE_Z);
    if peers.attempts > 0 && lower > threshold && lower > MIN_RATIO_TO_PEERS * peers_upper {
        lower
    } else {
        0.0
    }
}

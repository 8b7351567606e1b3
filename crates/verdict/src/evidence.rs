//! What tells against a server: what several nodes met there, beside what they met elsewhere in the same seconds.

use crate::outcomes::AttemptCounts;
use crate::wilson::interval;

/// Standard deviations of doubt that a verdict has to overcome: at 3 two sound servers were condemned in ten hours in which a tenth of
/// all answers got lost, at 3.5 none (`docs/design/verdicts.md`).
const Z: f64 = 3.5;
/// Nodes that have to tell against a server beside the one that does most.
const OTHERS: usize = 2;
/// How many times as often as at others a server has to fail.
const BESIDE: f64 = 2.0;

/// What a server may be condemned for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutlierKind {
    /// Its answers are errors, or none come.
    Failing,
    /// They come late.
    Late,
}

impl OutlierKind {
    /// How many of a server's attempts met that.
    pub fn of(self, counts: &AttemptCounts) -> u32 {
        match self {
            OutlierKind::Failing => counts.failed,
            OutlierKind::Late => counts.late,
        }
    }
}

/// What each node met at a server.
pub(crate) fn at(server: u64, report: &[(u64, AttemptCounts)]) -> AttemptCounts {
    report.iter().find(|c| c.0 == server).map_or(AttemptCounts::default(), |c| c.1)
}

/// The report that tells most of it: it may be that node's road.
pub(crate) fn worst(fault: OutlierKind, server: u64, reports: &[&[(u64, AttemptCounts)]]) -> Option<usize> {
    let bad = |n: &usize| fault.of(&at(server, reports[*n]));
    (0..reports.len()).max_by_key(bad).filter(|n| bad(n) > 0)
}

/// How surely a server does something that it should not, beside others; 0: not surely.
pub(crate) fn against(
    fault: OutlierKind,
    least: f64,
    server: u64,
    reports: &[&[(u64, AttemptCounts)]],
) -> f64 {
    let Some(worst) = worst(fault, server, reports) else { return 0.0 };
    let others = || reports.iter().enumerate().filter(|(n, _)| *n != worst).map(|(_, report)| report);
    let own: Vec<AttemptCounts> = others().map(|report| at(server, report)).collect();
    if own.iter().filter(|c| fault.of(c) > 0).count() < OTHERS {
        return 0.0;
    }
    let all = own.into_iter().fold(AttemptCounts::default(), AttemptCounts::plus);
    let peers = others().flat_map(|r| r.iter()).filter(|c| c.0 != server);
    let peers = peers.fold(AttemptCounts::default(), |sum, c| sum.plus(c.1));
    let (surely, _) = interval(fault.of(&all).into(), all.attempts.into(), Z);
    let (_, usual) = interval(fault.of(&peers).into(), peers.attempts.into(), Z);
    if peers.attempts > 0 && surely > least && surely > BESIDE * usual {
        surely
    } else {
        0.0
    }
}

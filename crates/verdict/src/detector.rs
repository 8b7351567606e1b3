//! Outlier detection during one leadership term, without I/O: reports in, ejection lists out.

use crate::detection::{detect_outliers, VerdictSettings};
use crate::message::{Ejection, EjectionList, Report};
use crate::outcomes::AttemptCounts;
use crate::recovery::EjectionRecord;
use birchswitch_mesh::Time;
use std::collections::BTreeMap;

/// The most nodes whose reports are kept.
const MAX_REPORTS: usize = 4096;
/// A report counts for this many report intervals.
const REPORT_TTL_INTERVALS: u32 = 3;

/// A node's latest report: when it came, how many servers the node lists, and the outcomes of its attempts.
type LatestReport = (Time, u32, Vec<(u64, AttemptCounts)>);

/// The reports and the ejections of a zone. `N` identifies nodes.
#[derive(Debug)]
pub struct Detector<N> {
    token: u64,
    list_count: u64,
    evaluated_at: Option<Time>,
    reports: BTreeMap<N, LatestReport>,
    record: EjectionRecord,
    ejections: Vec<Ejection>,
}

impl<N: Ord> Detector<N> {
    /// A detector without reports.
    pub fn new(token: u64) -> Self {
        let (reports, record, ejections) = (BTreeMap::new(), EjectionRecord::default(), Vec::new());
        Detector { token, list_count: 0, evaluated_at: None, reports, record, ejections }
    }

    /// Records a node's report. Returns the list to send to the node, and the servers that were ejected just now.
    pub fn receive(
        &mut self,
        settings: &VerdictSettings,
        now: Time,
        node: N,
        report: Report,
    ) -> (EjectionList, Vec<Ejection>) {
        let report_ttl = settings.renew * REPORT_TTL_INTERVALS;
        self.reports.retain(|_, r| now < r.0 + report_ttl);
        if self.reports.len() < MAX_REPORTS {
            self.reports.insert(node, (now, report.listed, report.counts));
        }
        let due = self.evaluated_at.is_none_or(|at| now >= at + settings.renew);
        let new = if due { self.evaluate(settings, now) } else { Vec::new() };
        (EjectionList { version: (self.token, self.list_count), ejections: self.ejections.clone() }, new)
    }

    fn evaluate(&mut self, settings: &VerdictSettings, now: Time) -> Vec<Ejection> {
        self.evaluated_at = Some(now);
        let listed = self.reports.values().map(|r| r.1).max().unwrap_or(0) as usize;
        let reports: Vec<&[(u64, AttemptCounts)]> = self.reports.values().map(|r| r.2.as_slice()).collect();
        let ejections = detect_outliers(settings, &mut self.record, now, listed, &reports);
        if ejections == self.ejections {
            return Vec::new();
        }
        let was_ejected = |s: &&Ejection| self.ejections.iter().any(|o| o.server == s.server);
        let new = ejections.iter().filter(|s| !was_ejected(s)).copied().collect();
        self.ejections = ejections;
        self.list_count += 1;
        new
    }
}

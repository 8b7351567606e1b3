//! One judge's time under one token, without I/O: reports in, words out.

use crate::detection::{detect_outliers, VerdictSettings};
use crate::message::{Ejection, EjectionList, Report};
use crate::outcomes::AttemptCounts;
use crate::recovery::EjectionRecord;
use birchswitch_mesh::Time;
use std::collections::BTreeMap;

/// Most nodes of which reports are kept.
const REPORTS: usize = 4096;
/// Reports count for so many times the time between two of them.
const KEPT: u32 = 3;

/// What a node reported last: when, how many servers it lists, what it met.
type Heard = (Time, u32, Vec<(u64, AttemptCounts)>);

/// What a judge knows; nodes are told apart by `N`.
#[derive(Debug)]
pub struct Detector<N> {
    token: u64,
    count: u64,
    looked: Option<Time>,
    reports: BTreeMap<N, Heard>,
    record: EjectionRecord,
    ejections: Vec<Ejection>,
}

impl<N: Ord> Detector<N> {
    /// With no report heard yet.
    pub fn new(token: u64) -> Self {
        let (reports, record, ejections) = (BTreeMap::new(), EjectionRecord::default(), Vec::new());
        Detector { token, count: 0, looked: None, reports, record, ejections }
    }

    /// Takes in a node's report: what is to be told to it, and servers that are condemned by it and were not before.
    pub fn receive(
        &mut self,
        terms: &VerdictSettings,
        now: Time,
        node: N,
        report: Report,
    ) -> (EjectionList, Vec<Ejection>) {
        let fresh = terms.renew * KEPT;
        self.reports.retain(|_, r| now < r.0 + fresh);
        if self.reports.len() < REPORTS {
            self.reports.insert(node, (now, report.listed, report.counts));
        }
        let due = self.looked.is_none_or(|at| now >= at + terms.renew);
        let new = if due { self.look(terms, now) } else { Vec::new() };
        (EjectionList { version: (self.token, self.count), ejections: self.ejections.clone() }, new)
    }

    fn look(&mut self, terms: &VerdictSettings, now: Time) -> Vec<Ejection> {
        self.looked = Some(now);
        let listed = self.reports.values().map(|r| r.1).max().unwrap_or(0) as usize;
        let reports: Vec<&[(u64, AttemptCounts)]> = self.reports.values().map(|r| r.2.as_slice()).collect();
        let ejections = detect_outliers(terms, &mut self.record, now, listed, &reports);
        if ejections == self.ejections {
            return Vec::new();
        }
        let had = |s: &&Ejection| self.ejections.iter().any(|o| o.server == s.server);
        let new = ejections.iter().filter(|s| !had(s)).copied().collect();
        self.ejections = ejections;
        self.count += 1;
        new
    }
}

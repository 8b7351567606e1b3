//! Sums over an account's allotments, kept up to date as they change: an account may have one for each node.

use super::Allotment;

/// Units of allotments that are out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Totals {
    outstanding: u128,
    in_doubt: u128,
}

impl Totals {
    /// Counts an allotment.
    pub(super) fn add(&mut self, allotment: &Allotment) {
        *self.total_of(allotment) += u128::from(allotment.remaining());
    }

    /// Counts an allotment no longer, which has to be as it was when it was added.
    pub(super) fn remove(&mut self, allotment: &Allotment) {
        *self.total_of(allotment) -= u128::from(allotment.remaining());
    }

    /// Units that processes may still spend.
    pub(super) fn outstanding(self) -> u64 {
        u64::try_from(self.outstanding).unwrap_or(u64::MAX)
    }

    /// Units that processes may have spent which did not report.
    pub(super) fn in_doubt(self) -> u64 {
        u64::try_from(self.in_doubt).unwrap_or(u64::MAX)
    }

    fn total_of(&mut self, allotment: &Allotment) -> &mut u128 {
        match allotment.in_doubt {
            true => &mut self.in_doubt,
            false => &mut self.outstanding,
        }
    }
}

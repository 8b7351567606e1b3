//! Sums over an account's allotments, updated with each change because an account may have an allotment for every node.

use super::Allotment;

/// Units of open allotments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Totals {
    outstanding: u128,
    in_doubt: u128,
}

impl Totals {
    /// Adds an allotment to the sums.
    pub(super) fn add(&mut self, allotment: &Allotment) {
        *self.total_of(allotment) += u128::from(allotment.remaining());
    }

    /// Subtracts an allotment, which must be unchanged since it was added.
    pub(super) fn remove(&mut self, allotment: &Allotment) {
        *self.total_of(allotment) -= u128::from(allotment.remaining());
    }

    /// Units that processes may still spend.
    pub(super) fn outstanding(self) -> u64 {
        u64::try_from(self.outstanding).unwrap_or(u64::MAX)
    }

    /// Units of allotments in doubt, which may or may not have been spent.
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

//! What a node may let in of one limit: its grant, and how much of that is used.

use crate::Allocation;
use birchswitch_mesh::Time;
use std::time::Duration;

/// A grant as its node holds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// How much.
    pub allocation: Allocation,
    /// When it ends, by the node's clock; none: it does not.
    pub expires: Option<Time>,
}

/// See the module's words. A rate is a bucket that fills with its rate up to its capacity, and starts empty; a number in flight is counted.
///
/// In no time t does a bucket let in more than rate·t and what it held at the beginning, which is never more than its capacity; so what
/// all buckets let in is bounded by the sums of the two, whenever parts change: a higher capacity is not had before the rate has filled it.
#[derive(Clone, Debug, Default)]
pub struct LocalQuota {
    grant: Option<Grant>,
    level: f64,
    at: Time,
    out: u32,
}

impl LocalQuota {
    /// The allocation that holds now.
    pub fn allocation(&self, now: Time) -> Option<Allocation> {
        self.grant.filter(|g| g.expires.is_none_or(|expires| now < expires)).map(|g| g.allocation)
    }

    /// Requests that were let in and have not ended.
    pub fn in_flight(&self) -> u32 {
        self.out
    }

    fn fill(&mut self, now: Time) {
        let Some(grant) = self.grant else { return };
        let ended = grant.expires.filter(|expires| now >= *expires);
        if ended.is_some() {
            // What it held is another's by now.
            (self.grant, self.level) = (None, 0.0);
        } else {
            let time = now.saturating_sub(self.at).as_secs_f64();
            self.level = (self.level + grant.allocation.rate * time).min(grant.allocation.capacity);
        }
        self.at = now;
    }

    /// Another grant takes the place of the one held; none: there is none any more.
    pub fn set_grant(&mut self, now: Time, grant: Option<Grant>) {
        self.fill(now);
        self.level = grant.map_or(0.0, |g| self.level.min(g.allocation.capacity));
        (self.grant, self.at) = (grant, now);
    }

    /// Whether one more may be let in now; else how long until one may, where that is known.
    pub fn check(&mut self, now: Time, in_flight: bool) -> Result<(), Option<Duration>> {
        self.fill(now);
        let Some(allocation) = self.allocation(now) else { return Err(None) };
        if in_flight {
            return if f64::from(self.out) < allocation.capacity { Ok(()) } else { Err(None) };
        }
        if self.level >= 1.0 {
            return Ok(());
        }
        let wait = (1.0 - self.level) / allocation.rate;
        Err((allocation.capacity >= 1.0 && wait < 3600.0).then(|| Duration::from_secs_f64(wait)))
    }

    /// Lets one in, after [`LocalQuota::check`] said yes.
    pub fn admit(&mut self) {
        self.consume();
        self.out += 1;
    }

    /// Lets one that is in already go on as if it came now, after [`LocalQuota::check`] said yes.
    pub fn consume(&mut self) {
        self.level = (self.level - 1.0).max(0.0);
    }

    /// One that was let in has ended.
    pub fn release(&mut self) {
        self.out = self.out.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Time {
        Time::from_millis(ms)
    }

    fn granted(rate: f64, capacity: f64, expires: u64) -> Option<Grant> {
        Some(Grant { allocation: Allocation { rate, capacity }, expires: Some(ms(expires)) })
    }

    fn lets_in(a: &mut LocalQuota, now: Time) -> bool {
        let may = a.check(now, false).is_ok();
        if may {
            a.admit();
        }
        may
    }

    #[test]
    fn a_bucket_starts_empty_and_fills_with_its_flow() {
        let mut a = LocalQuota::default();
        assert_eq!(a.check(ms(0), false), Err(None), "no grant");
        a.set_grant(ms(1000), granted(10.0, 2.0, 60_000));
        assert_eq!(a.check(ms(1000), false), Err(Some(ms(100))));
        assert!(lets_in(&mut a, ms(1100)) && !lets_in(&mut a, ms(1100)));
        assert!(lets_in(&mut a, ms(9000)) && lets_in(&mut a, ms(9000)) && !lets_in(&mut a, ms(9000)));
    }

    #[test]
    fn a_higher_stock_is_not_had_before_it_is_filled_and_a_lower_one_at_once() {
        let mut a = LocalQuota::default();
        a.set_grant(ms(0), granted(1.0, 2.0, 60_000));
        assert!(a.check(ms(5000), false).is_ok());
        a.set_grant(ms(5000), granted(1.0, 9.0, 60_000));
        let burst = (0..20).filter(|_| lets_in(&mut a, ms(5000))).count();
        assert_eq!(burst, 2);
        a.set_grant(ms(20_000), granted(1.0, 1.0, 60_000));
        let burst = (0..20).filter(|_| lets_in(&mut a, ms(20_000))).count();
        assert_eq!(burst, 1);
    }

    #[test]
    fn what_a_grant_that_ended_had_is_gone() {
        let mut a = LocalQuota::default();
        a.set_grant(ms(0), granted(10.0, 5.0, 2000));
        assert!(a.check(ms(1999), false).is_ok());
        assert_eq!(a.check(ms(2000), false), Err(None));
        a.set_grant(ms(2100), granted(10.0, 5.0, 4000));
        assert!(!lets_in(&mut a, ms(2150)), "it begins anew");
    }

    #[test]
    fn a_number_in_flight_counts_those_that_have_not_ended() {
        let mut a = LocalQuota::default();
        a.set_grant(ms(0), granted(0.0, 2.0, 60_000));
        for _ in 0..2 {
            assert!(a.check(ms(1), true).is_ok());
            a.admit();
        }
        assert!(a.check(ms(1), true).is_err());
        a.release();
        assert!(a.check(ms(1), true).is_ok());
        // Fewer than are out: nothing more until enough have ended.
        a.set_grant(ms(2), granted(0.0, 1.0, 60_000));
        assert!(a.check(ms(2), true).is_err());
    }
}

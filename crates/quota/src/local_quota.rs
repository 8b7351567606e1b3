//! One node's quota of one limit: its grant, and how much of it is in use.

use crate::Allocation;
use birchswitch_mesh::Time;
use std::time::Duration;

/// A grant as its node holds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// What it allows.
    pub allocation: Allocation,
    /// When it expires by the node's clock; none: never.
    pub expires: Option<Time>,
}

/// A token bucket that starts empty, or a counter of requests in flight.
///
/// In any time t a bucket admits at most rate·t plus its level at the start of t, which is at most its capacity. What all buckets admit is
/// therefore bounded by the sums of rates and capacities, also when grants change, since a raised capacity has to be filled at the rate.
#[derive(Clone, Debug, Default)]
pub struct LocalQuota {
    grant: Option<Grant>,
    level: f64,
    refilled_at: Time,
    in_flight: u32,
}

impl LocalQuota {
    /// The allocation in effect, if any.
    pub fn allocation(&self, now: Time) -> Option<Allocation> {
        self.grant.filter(|g| g.expires.is_none_or(|expires| now < expires)).map(|g| g.allocation)
    }

    /// Requests that were admitted and have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn refill(&mut self, now: Time) {
        let Some(grant) = self.grant else { return };
        let expired = grant.expires.filter(|expires| now >= *expires);
        if expired.is_some() {
            // The leader may have given it to another node.
            (self.grant, self.level) = (None, 0.0);
        } else {
            let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
            self.level = (self.level + grant.allocation.rate * elapsed).min(grant.allocation.capacity);
        }
        self.refilled_at = now;
    }

    /// Replaces the grant.
    pub fn set_grant(&mut self, now: Time, grant: Option<Grant>) {
        self.refill(now);
        self.level = grant.map_or(0.0, |g| self.level.min(g.allocation.capacity));
        (self.grant, self.refilled_at) = (grant, now);
    }

    /// Whether one more request may be admitted now. The error is the time until then, if it is known.
    pub fn check(&mut self, now: Time, in_flight: bool) -> Result<(), Option<Duration>> {
        self.refill(now);
        let Some(allocation) = self.allocation(now) else { return Err(None) };
        if in_flight {
            return if f64::from(self.in_flight) < allocation.capacity { Ok(()) } else { Err(None) };
        }
        if self.level >= 1.0 {
            return Ok(());
        }
        let wait = (1.0 - self.level) / allocation.rate;
        Err((allocation.capacity >= 1.0 && wait < 3600.0).then(|| Duration::from_secs_f64(wait)))
    }

    /// Admits a request. [`LocalQuota::check`] must have allowed it.
    pub fn admit(&mut self) {
        self.consume();
        self.in_flight += 1;
    }

    /// Takes a token for a request that is in flight already. [`LocalQuota::check`] must have allowed it.
    pub fn consume(&mut self) {
        self.level = (self.level - 1.0).max(0.0);
    }

    /// An admitted request has ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Time {
        Time::from_millis(ms)
    }

    fn grant(rate: f64, capacity: f64, expires: u64) -> Option<Grant> {
        Some(Grant { allocation: Allocation { rate, capacity }, expires: Some(ms(expires)) })
    }

    fn try_admit(quota: &mut LocalQuota, now: Time) -> bool {
        let allowed = quota.check(now, false).is_ok();
        if allowed {
            quota.admit();
        }
        allowed
    }

    #[test]
    fn a_bucket_starts_empty_and_fills_at_its_rate() {
        let mut quota = LocalQuota::default();
        assert_eq!(quota.check(ms(0), false), Err(None), "no grant");
        quota.set_grant(ms(1000), grant(10.0, 2.0, 60_000));
        assert_eq!(quota.check(ms(1000), false), Err(Some(ms(100))));
        assert!(try_admit(&mut quota, ms(1100)) && !try_admit(&mut quota, ms(1100)));
        assert!(
            try_admit(&mut quota, ms(9000))
                && try_admit(&mut quota, ms(9000))
                && !try_admit(&mut quota, ms(9000))
        );
    }

    #[test]
    fn a_raised_capacity_has_to_be_filled_and_a_lowered_one_applies_at_once() {
        let mut quota = LocalQuota::default();
        quota.set_grant(ms(0), grant(1.0, 2.0, 60_000));
        assert!(quota.check(ms(5000), false).is_ok());
        quota.set_grant(ms(5000), grant(1.0, 9.0, 60_000));
        let burst = (0..20).filter(|_| try_admit(&mut quota, ms(5000))).count();
        assert_eq!(burst, 2);
        quota.set_grant(ms(20_000), grant(1.0, 1.0, 60_000));
        let burst = (0..20).filter(|_| try_admit(&mut quota, ms(20_000))).count();
        assert_eq!(burst, 1);
    }

    #[test]
    fn tokens_are_lost_when_the_grant_expires() {
        let mut quota = LocalQuota::default();
        quota.set_grant(ms(0), grant(10.0, 5.0, 2000));
        assert!(quota.check(ms(1999), false).is_ok());
        assert_eq!(quota.check(ms(2000), false), Err(None));
        quota.set_grant(ms(2100), grant(10.0, 5.0, 4000));
        assert!(!try_admit(&mut quota, ms(2150)), "the bucket starts empty");
    }

    #[test]
    fn requests_in_flight_count_until_they_end() {
        let mut quota = LocalQuota::default();
        quota.set_grant(ms(0), grant(0.0, 2.0, 60_000));
        for _ in 0..2 {
            assert!(quota.check(ms(1), true).is_ok());
            quota.admit();
        }
        assert!(quota.check(ms(1), true).is_err());
        quota.release();
        assert!(quota.check(ms(1), true).is_ok());
        // With a grant below the number in flight nothing is admitted until enough requests have ended.
        quota.set_grant(ms(2), grant(0.0, 1.0, 60_000));
        assert!(quota.check(ms(2), true).is_err());
    }
}

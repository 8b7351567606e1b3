//! Prices of requests, in whole units.

use std::time::Duration;

/// One account's prices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prices {
    /// The price of each class, by its index in the settings.
    pub classes: Vec<u64>,
    /// The price of each millisecond of work that a client declares, rounded up.
    pub per_ms: u64,
}

impl Prices {
    /// The price of a request.
    pub fn price_of(&self, class: u8, work: Option<Duration>) -> u64 {
        let class = self.classes.get(usize::from(class)).copied().unwrap_or_default();
        let ms = work.map_or(0, |w| u64::try_from(w.as_micros().div_ceil(1000)).unwrap_or(u64::MAX));
        class.saturating_add(self.per_ms.saturating_mul(ms))
    }

    /// The lowest price above zero.
    pub fn min_price(&self) -> u64 {
        self.classes.iter().copied().filter(|p| *p > 0).min().unwrap_or(1)
    }

    /// The highest price of a request that declares no work.
    pub fn max_price(&self) -> u64 {
        self.classes.iter().copied().max().unwrap_or(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn work_is_rounded_up_to_whole_milliseconds() {
        let prices = Prices { classes: vec![1, 5, 0], per_ms: 2 };
        assert_eq!([0, 1, 2, 9].map(|class| prices.price_of(class, None)), [1, 5, 0, 0]);
        assert_eq!(prices.price_of(1, Some(Duration::from_micros(1001))), 9);
        assert_eq!((prices.min_price(), prices.max_price()), (1, 5));
        assert_eq!(prices.price_of(0, Some(Duration::MAX)), u64::MAX, "no overflow");
    }
}

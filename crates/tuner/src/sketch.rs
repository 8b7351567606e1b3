//! What a node's own requests took at each server since it was last asked: histograms that add up.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;
/// Significant digits: times are right to a tenth.
const DIGITS: u8 = 1;

/// Times, in microseconds.
#[derive(Clone, Debug)]
pub struct LatencySketch(pub Histogram<u32>);

impl Default for LatencySketch {
    fn default() -> Self {
        // The bounds are fixed and sound.
        LatencySketch(
            Histogram::new_with_bounds(1, LONGEST, DIGITS).unwrap_or_else(|_| unreachable!("fixed bounds")),
        )
    }
}

impl LatencySketch {
    /// One more.
    pub fn record(&mut self, seconds: f64) {
        self.0.saturating_record(((seconds * 1e6) as u64).clamp(1, LONGEST));
    }

    /// How many there are, and how many of them took longer than so many seconds.
    pub fn over(&self, seconds: f64) -> (u64, u64) {
        let all = self.0.len();
        let within = self.0.count_between(0, ((seconds * 1e6) as u64).clamp(1, LONGEST));
        (all, all - within.min(all))
    }

    /// As it travels.
    pub fn encode(&self) -> Vec<u8> {
        let each = self.0.iter_recorded().map(|v| (v.value_iterated_to(), v.count_at_value()));
        // Nothing of it fails to encode but for want of memory.
        postcard::to_stdvec(&each.collect::<Vec<(u64, u32)>>()).unwrap_or_default()
    }

    /// Reads what a peer sent; none: it makes no sense.
    pub fn decode(bytes: &[u8]) -> Option<LatencySketch> {
        let each: Vec<(u64, u32)> = postcard::from_bytes(bytes).ok()?;
        let mut own = LatencySketch::default();
        each.iter().for_each(|(value, count)| own.0.saturating_record_n((*value).clamp(1, LONGEST), *count));
        Some(own)
    }
}

/// See the module's words. Used by the node's thread alone.
#[derive(Debug, Default)]
pub struct ServerSketches(BTreeMap<u64, LatencySketch>);

impl ServerSketches {
    /// A server answered after so many seconds.
    pub fn record(&mut self, server: u64, seconds: f64) {
        self.0.entry(server).or_default().record(seconds);
    }

    /// All of it, which then begins anew.
    pub fn take(&mut self) -> Vec<(u64, Vec<u8>)> {
        std::mem::take(&mut self.0).into_iter().map(|(server, span)| (server, span.encode())).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_travels_is_what_was_counted() {
        let mut span = LatencySketch::default();
        (1..=100).for_each(|ms| span.record(f64::from(ms) / 1e3));
        let read = LatencySketch::decode(&span.encode()).expect("its own");
        let (all, over) = read.over(0.09);
        assert_eq!(all, 100);
        assert!((6..=14).contains(&over), "{over}");
        assert!(span.encode().len() < 600, "{}", span.encode().len());
    }

    proptest! {
        #[test]
        fn no_bytes_panic(bytes: Vec<u8>) {
            let _ = LatencySketch::decode(&bytes);
        }
    }
}

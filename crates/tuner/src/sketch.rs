//! Latencies of a node's requests at each server since its last report, in mergeable histograms.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Longer latencies are recorded as this one, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Significant digits: latencies are accurate to a tenth.
const SIGNIFICANT_DIGITS: u8 = 1;

/// A histogram of latencies, in microseconds.
#[derive(Clone, Debug)]
pub struct LatencySketch(pub Histogram<u32>);

impl Default for LatencySketch {
    fn default() -> Self {
        // The bounds are constants that the histogram accepts.
        LatencySketch(
            Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| unreachable!("fixed bounds")),
        )
    }
}

impl LatencySketch {
    /// Records a latency.
    pub fn record(&mut self, seconds: f64) {
        self.0.saturating_record(((seconds * 1e6) as u64).clamp(1, MAX_MICROS));
    }

    /// The number of latencies, and of those above `seconds`.
    pub fn count_above(&self, seconds: f64) -> (u64, u64) {
        let all = self.0.len();
        let within = self.0.count_between(0, ((seconds * 1e6) as u64).clamp(1, MAX_MICROS));
        (all, all - within.min(all))
    }

    /// Encodes the histogram for a report.
    pub fn encode(&self) -> Vec<u8> {
        let buckets = self.0.iter_recorded().map(|v| (v.value_iterated_to(), v.count_at_value()));
        // Encoding to memory doesn't fail.
        postcard::to_stdvec(&buckets.collect::<Vec<(u64, u32)>>()).unwrap_or_default()
    }

    /// Decodes a histogram from a peer; none: the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<LatencySketch> {
        let buckets: Vec<(u64, u32)> = postcard::from_bytes(bytes).ok()?;
        let mut sketch = LatencySketch::default();
        buckets
            .iter()
            .for_each(|(value, count)| sketch.0.saturating_record_n((*value).clamp(1, MAX_MICROS), *count));
        Some(sketch)
    }
}

/// Latencies by server. Used by the node's thread alone.
#[derive(Debug, Default)]
pub struct ServerSketches(BTreeMap<u64, LatencySketch>);

impl ServerSketches {
    /// Records the latency of a response.
    pub fn record(&mut self, server: u64, seconds: f64) {
        self.0.entry(server).or_default().record(seconds);
    }

    /// Returns the encoded sketches, and starts over.
    pub fn take(&mut self) -> Vec<(u64, Vec<u8>)> {
        std::mem::take(&mut self.0).into_iter().map(|(server, sketch)| (server, sketch.encode())).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn encoding_preserves_the_counts() {
        let mut sketch = LatencySketch::default();
        (1..=100).for_each(|ms| sketch.record(f64::from(ms) / 1e3));
        let decoded = LatencySketch::decode(&sketch.encode()).expect("valid encoding");
        let (all, above) = decoded.count_above(0.09);
        assert_eq!(all, 100);
        assert!((6..=14).contains(&above), "{above}");
        assert!(sketch.encode().len() < 600, "{}", sketch.encode().len());
    }

    proptest! {
        #[test]
        fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) {
            let _ = LatencySketch::decode(&bytes);
        }
    }
}

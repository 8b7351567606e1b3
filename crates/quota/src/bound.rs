//! What is claimed of a rate, as a count over every window.

/// By how many requests the worst window W holds more than `per_s`·W + `burst`, of these in order, in seconds; nothing or less: none does.
pub fn max_excess(at: impl IntoIterator<Item = f64>, per_s: f64, burst: f64) -> f64 {
    let (mut least, mut worst) = (f64::INFINITY, f64::NEG_INFINITY);
    for (n, at) in at.into_iter().enumerate() {
        let filled = per_s * at;
        // Of those from the k-th to this one: n + 1 - k.
        least = least.min(n as f64 - filled);
        worst = worst.max((n + 1) as f64 - filled - least - burst);
    }
    worst
}

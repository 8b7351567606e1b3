//! The bound on a rate limit, as a check over every window of a sequence of requests.

/// By how many requests the worst window of length W exceeds `per_s`·W + `burst`; at most 0: no window does. `times` are in seconds, in
/// ascending order.
pub fn max_excess(times: impl IntoIterator<Item = f64>, per_s: f64, burst: f64) -> f64 {
    let (mut least, mut worst) = (f64::INFINITY, f64::NEG_INFINITY);
    for (n, time) in times.into_iter().enumerate() {
        let allowed = per_s * time;
        // The window from request k to this one, the n-th from 0, holds n + 1 - k requests.
        least = least.min(n as f64 - allowed);
        worst = worst.max((n + 1) as f64 - allowed - least - burst);
    }
    worst
}

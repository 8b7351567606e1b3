//! The Wilson score interval of a proportion (Wilson 1927), which holds for small samples too.

/// The lower and upper bound of a proportion, from `hits` in `trials`, at `z` standard deviations.
pub fn interval(hits: f64, trials: f64, z: f64) -> (f64, f64) {
    if trials <= 0.0 {
        return (0.0, 1.0);
    }
    let proportion = (hits / trials).clamp(0.0, 1.0);
    let scale = 1.0 + z * z / trials;
    let center = (proportion + z * z / (2.0 * trials)) / scale;
    let margin =
        z / scale * (proportion * (1.0 - proportion) / trials + z * z / (4.0 * trials * trials)).sqrt();
    ((center - margin).max(0.0), (center + margin).min(1.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_small_sample_gives_a_wide_interval() {
        let (lower, upper) = interval(3.0, 3.0, 3.0);
        assert!(lower < 0.3 && upper > 0.99, "{lower} {upper}");
        let (lower, upper) = interval(30.0, 100.0, 3.0);
        assert!((0.18..0.2).contains(&lower) && (0.44..0.46).contains(&upper), "{lower} {upper}");
        assert_eq!(interval(0.0, 0.0, 3.0), (0.0, 1.0));
        assert!(interval(0.0, 10.0, 3.0).0 < 1e-9);
    }
}

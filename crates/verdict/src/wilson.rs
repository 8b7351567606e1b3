//! Bounds on a chance from counts (Wilson 1927): honest also where there are few.

/// The least and the most that the chance may be, of so many hits in so many attempts, at `z` standard deviations.
pub fn interval(hits: f64, attempts: f64, z: f64) -> (f64, f64) {
    if attempts <= 0.0 {
        return (0.0, 1.0);
    }
    let part = (hits / attempts).clamp(0.0, 1.0);
    let scale = 1.0 + z * z / attempts;
    let middle = (part + z * z / (2.0 * attempts)) / scale;
    let wide = z / scale * (part * (1.0 - part) / attempts + z * z / (4.0 * attempts * attempts)).sqrt();
    ((middle - wide).max(0.0), (middle + wide).min(1.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn few_tries_say_little() {
        let (least, most) = interval(3.0, 3.0, 3.0);
        assert!(least < 0.3 && most > 0.99, "{least} {most}");
        let (least, most) = interval(30.0, 100.0, 3.0);
        assert!((0.18..0.2).contains(&least) && (0.44..0.46).contains(&most), "{least} {most}");
        assert_eq!(interval(0.0, 0.0, 3.0), (0.0, 1.0));
        assert!(interval(0.0, 10.0, 3.0).0 < 1e-9);
    }
}

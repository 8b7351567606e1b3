//! The expected maximum of several values.

use super::*;

#[test]
fn expected_maximum_grows_with_variance() {
    let coin = WorthDistribution::new([(0.0, 0.5), (0.999, 0.5)].into_iter());
    let sure = WorthDistribution::new([(0.5, 1.0)].into_iter());
    assert!((coin.expected(0.0) - 0.5).abs() < 0.04);
    assert!((coin.max(&coin).expected(0.0) - 0.75).abs() < 0.04);
    assert!((coin.expected(0.5) - 0.75).abs() < 0.04);
    assert!((sure.max(&sure).expected(0.0) - sure.expected(0.0)).abs() < 1e-9);
    assert_eq!(WorthDistribution::none().expected(0.0), 0.0);
    assert!((WorthDistribution::none().max(&coin).expected(0.0) - coin.expected(0.0)).abs() < 1e-9);
}

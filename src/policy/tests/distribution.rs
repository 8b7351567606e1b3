//! The expected best of several.

use super::*;

#[test]
fn the_best_of_several_is_worth_more_the_more_they_differ() {
    let coin = Prospect::new([(0.0, 0.5), (0.999, 0.5)].into_iter());
    let sure = Prospect::new([(0.5, 1.0)].into_iter());
    assert!((coin.expected(0.0) - 0.5).abs() < 0.04);
    assert!((coin.or(&coin).expected(0.0) - 0.75).abs() < 0.04);
    assert!((coin.expected(0.5) - 0.75).abs() < 0.04);
    assert!((sure.or(&sure).expected(0.0) - sure.expected(0.0)).abs() < 1e-9);
    assert_eq!(Prospect::none().expected(0.0), 0.0);
    assert!((Prospect::none().or(&coin).expected(0.0) - coin.expected(0.0)).abs() < 1e-9);
}

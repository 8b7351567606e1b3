use super::LinearFit;

#[test]
fn a_fit_has_the_least_squares_line_and_its_worst_residual() {
    let line =
        LinearFit::fit(&[(25.0, 7.5), (50.0, 15.0), (100.0, 30.0), (200.0, 60.0)]).expect("four sizes");
    assert!((line.slope - 0.3).abs() < 1e-9 && line.at_zero.abs() < 1e-9 && line.worst_residual < 1e-9);
    assert!((line.at(390.0) - 117.0).abs() < 1e-6);
    let bent = LinearFit::fit(&[(1.0, 0.0), (2.0, 0.0), (3.0, 0.0), (4.0, 4.0)]).expect("four sizes");
    assert!((bent.slope - 1.2).abs() < 1e-9 && (bent.worst_residual - 1.6).abs() < 1e-9, "{bent:?}");
}

#[test]
fn three_distinct_sizes_give_no_fit() {
    assert_eq!(LinearFit::fit(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]), None);
    assert_eq!(LinearFit::fit(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (3.0, 3.1)]), None);
}

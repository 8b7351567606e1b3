use super::*;

fn size(nodes: usize, servers: usize, limits: usize, accounts: usize) -> Size {
    Size { nodes, servers, limits, accounts }
}

#[test]
fn sizes_vary_each_list_alone_and_then_all_together() {
    assert_eq!(sizes(&[25, 50], &[20], &[2], &[0]), [size(25, 20, 2, 0), size(50, 20, 2, 0)]);
    assert_eq!(
        sizes(&[25, 50], &[20, 40], &[2], &[0]),
        [size(25, 20, 2, 0), size(50, 20, 2, 0), size(25, 40, 2, 0), size(50, 40, 2, 0)]
    );
}

#[test]
fn sizes_beyond_the_limits_of_the_machine_are_refused() {
    let gigabyte = 1 << 20;
    assert!(check_against(&[size(200, 20, 2, 0)], 24 * gigabyte).is_ok());
    let refused = |nodes, memory| check_against(&[size(6, 1, 1, 0), size(nodes, 20, 2, 0)], memory);
    assert!(matches!(refused(5, 24 * gigabyte), Err(ScaleError::TooSmall(5))));
    assert!(matches!(refused(201, 24 * gigabyte), Err(ScaleError::TooManyProcesses(201))));
    let error = refused(100, 4 * gigabyte).expect_err("3.1 GB of 2");
    assert_eq!(
        error.to_string(),
        "100 nodes may need 3200 MB, and a run may take half of the machine's memory, 2048 MB"
    );
}

#[test]
fn costs_are_averaged_by_role() {
    let cost = |cpu_percent, stream_bytes| Cost { cpu_percent, stream_bytes, ..Cost::default() };
    let roles = [vec!["voter".to_owned()], vec!["node".to_owned()], vec!["node".to_owned()]];
    let means = by_role(&roles, &[cost(3.0, 30.0), cost(1.0, 10.0), cost(2.0, 30.0)]);
    assert_eq!(means["voter"], (1, cost(3.0, 30.0)));
    assert_eq!(means["node"], (2, cost(1.5, 20.0)));
}

#[test]
fn a_size_gives_one_csv_line_per_role() {
    let roles = [("node".to_owned(), (20, Cost { cpu_percent: 0.5, ..Cost::default() }))].into();
    let void = Some("2 nodes that live were taken for dead".to_owned());
    let step = SizeResult { size: size(25, 20, 2, 0), agreed: Duration::from_millis(1250), roles, void };
    let line = row(7, &step);
    assert_eq!(
        line,
        "7,25,20,2,0,1.2,node,20,0.500,0.000,0.000,0.000,0.000,0.000,2 nodes that live were taken for dead\n"
    );
    assert_eq!(line.split(',').count(), head().split(',').count());
}

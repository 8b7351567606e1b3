//! `birchswitch-standin scale` rejects runs that it can't carry out before it starts any process.

use std::process::{Command, Output};

/// A binary that does not exist: an attempt to start it fails with this path in the message.
const NO_NODE: &str = "/nonexistent/birchswitch";

fn scale(arguments: &[&str]) -> Output {
    let command =
        Command::new(env!("CARGO_BIN_EXE_birchswitch-standin")).arg("scale").args(arguments).output();
    command.expect("the program runs")
}

fn refusal(arguments: &[&str]) -> String {
    let output = scale(&[arguments, &["--node", NO_NODE]].concat());
    assert!(!output.status.success(), "{arguments:?}");
    assert!(output.stdout.is_empty(), "{arguments:?}: {:?}", String::from_utf8_lossy(&output.stdout));
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn sizes_out_of_range_are_refused() {
    assert!(refusal(&["--nodes", "25,201"]).contains("201 nodes are more than the 200 processes"));
    assert!(refusal(&["--nodes", "5"]).contains("5 nodes are too few"));
    assert!(refusal(&["--nodes", "many"]).contains("invalid value 'many'"));
    assert!(refusal(&["--seconds", "0"]).contains("'--seconds <SECONDS>'"));
}

#[test]
fn an_unwritable_output_file_is_refused() {
    assert!(
        refusal(&["--nodes", "6", "--csv", "/nonexistent/figures.csv"]).contains("/nonexistent/figures.csv")
    );
}

#[test]
fn a_failed_run_leaves_complete_lines() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("figures.csv");
    let message = refusal(&["--nodes", "6", "--csv", path.to_str().expect("a path")]);
    assert!(message.contains(NO_NODE), "{message}");
    let text = std::fs::read_to_string(&path).expect("the figures");
    assert!(text.starts_with("seed,nodes,") && text.ends_with('\n'), "{text:?}");
}

//! The `[lease]` table: accepted settings, and positions of errors in the file.

use birchswitch_cluster_host::SettingError;
use birchswitch_lease_host::{LeaseSettings, LeaseTable};
use std::time::Duration;

const VALID: &str = "voters = [\"10.0.0.1:7946\", \"10.0.0.2:7946\", \"10.0.0.3:7946\"]\n";

fn compile(text: &str) -> Result<LeaseSettings, SettingError> {
    toml::from_str::<LeaseTable>(text).expect("a well-formed table").compile()
}

#[test]
fn defaults_and_given_durations_apply() {
    let defaults = compile(VALID).expect("valid settings");
    assert_eq!(
        (defaults.terms.ttl, defaults.terms.drift, defaults.rate),
        (Duration::from_secs(10), 50, 1000)
    );
    let given =
        compile(&format!("{VALID}ttl = \"4s\"\nround = \"1s\"\ndrift = 0.01\ndrill = {{ rate = 1.04 }}"));
    let given = given.expect("valid settings");
    assert_eq!((given.terms.ttl, given.terms.round), (Duration::from_secs(4), Duration::from_secs(1)));
    assert_eq!((given.terms.drift, given.rate), (10, 1040));
}

#[test]
fn errors_point_at_the_invalid_setting() {
    let two = "[\"10.0.0.1:7946\", \"10.0.0.2:7946\"]";
    let twice = "[\"10.0.0.1:7946\", \"10.0.0.2:7946\", \"10.0.0.1:7946\"]";
    let cases = [
        (format!("voters = {two}\n"), two, "`voters`"),
        (format!("voters = {twice}\n"), twice, "twice"),
        (format!("{VALID}ttl = \"500ms\""), "\"500ms\"", "`ttl`"),
        (format!("{VALID}round = \"4s\""), "\"4s\"", "`round`"),
        (format!("{VALID}drift = 0.5"), "0.5", "`drift`"),
        (format!("{VALID}drill = {{ rate = 9.0 }}"), "{ rate = 9.0 }", "`rate`"),
    ];
    for (text, expected_span, problem) in cases {
        let error = compile(&text).expect_err(&text);
        assert_eq!(&text[error.span.clone()], expected_span, "{text}");
        assert!(error.problem.contains(problem), "{}: {text}", error.problem);
    }
    for text in
        [format!("{VALID}ttls = \"1s\""), format!("{VALID}drill = {{ without = [\"care\"] }}"), String::new()]
    {
        assert!(toml::from_str::<LeaseTable>(&text).is_err(), "{text}");
    }
}

//! The `[cluster]` table: accepted settings, and positions of errors in the file.

use birchswitch_cluster_host::{ClusterSettings, ClusterTable, SettingError};
use std::time::Duration;

const VALID: &str = "name = \"shop\"\nbind = \"127.0.0.1:0\"\nseeds = [\"10.0.0.1:7946\"]\nzone = \"a\"\n";

fn compile(text: &str) -> Result<ClusterSettings, SettingError> {
    toml::from_str::<ClusterTable>(text).expect("a well-formed table").compile()
}

#[test]
fn defaults_and_given_durations_apply() {
    let defaults = compile(VALID).expect("valid settings");
    assert!(defaults.ring && defaults.node.is_none() && defaults.advertise.is_none());
    assert_eq!((defaults.zone.as_str(), defaults.settings.seeds.len()), ("a", 1));
    let given = compile(&format!("{VALID}probe = \"1s\"\nsuspicion = \"5s\"\nnode = \"x\"\nring = false"));
    let given = given.expect("valid settings");
    assert_eq!(
        (given.settings.probe, given.settings.suspicion),
        (Duration::from_secs(1), Duration::from_secs(5))
    );
    assert!(!given.ring && given.node.as_deref() == Some("x"));
}

/// Settings that are invalid by themselves or in combination are reported at their own position.
#[test]
fn errors_point_at_the_invalid_setting() {
    let too_many_seeds = format!("[{}]", vec!["\"10.0.0.1:1\""; 65].join(","));
    let cases = [
        (VALID.replace("shop", ""), "\"\"", "`name`"),
        (VALID.replace("\"a\"", "\"a b\""), "\"a b\"", "`zone`"),
        (format!("{VALID}node = \"é\""), "\"é\"", "`node`"),
        (format!("{VALID}probe = \"50ms\""), "\"50ms\"", "`probe`"),
        (format!("{VALID}timeout = \"300ms\""), "\"300ms\"", "half of `probe`"),
        (format!("{VALID}suspicion = \"1s\""), "\"1s\"", "four times `probe`"),
        (format!("{VALID}forget = \"3s\""), "\"3s\"", "`forget`"),
        (format!("{VALID}members = 1"), "1", "`members`"),
        (VALID.replace("[\"10.0.0.1:7946\"]", &too_many_seeds), too_many_seeds.as_str(), "`seeds`"),
        (VALID.replace("127.0.0.1:0", "0.0.0.0:7946"), "\"0.0.0.0:7946\"", "`advertise`"),
        (format!("{VALID}advertise = \"10.0.0.1:0\""), "\"10.0.0.1:0\"", "an address and a port"),
    ];
    for (text, expected_span, problem) in cases {
        let error = compile(&text).expect_err(&text);
        assert_eq!(&text[error.span.clone()], expected_span, "{text}");
        assert!(error.problem.contains(problem), "{}: {text}", error.problem);
    }
    for text in [format!("{VALID}probes = 1"), VALID.replace("zone", "zones"), format!("{VALID}probe = 400")]
    {
        assert!(toml::from_str::<ClusterTable>(&text).is_err(), "{text}");
    }
}

//! The `[cluster]` table: what is taken, and where in the file a mistake is.

use birchswitch_cluster_host::{ClusterSettings, ClusterTable, SettingError};
use std::time::Duration;

const GOOD: &str = "name = \"shop\"\nbind = \"127.0.0.1:0\"\nseeds = [\"10.0.0.1:7946\"]\nzone = \"a\"\n";

fn compile(text: &str) -> Result<ClusterSettings, SettingError> {
    toml::from_str::<ClusterTable>(text).expect("its form is right").compile()
}

#[test]
fn defaults_and_given_times_are_taken() {
    let plain = compile(GOOD).expect("it is right");
    assert!(plain.ring && plain.node.is_none() && plain.advertise.is_none());
    assert_eq!((plain.zone.as_str(), plain.settings.seeds.len()), ("a", 1));
    let given = compile(&format!("{GOOD}probe = \"1s\"\nsuspicion = \"5s\"\nnode = \"x\"\nring = false"));
    let given = given.expect("it is right");
    assert_eq!(
        (given.settings.probe, given.settings.suspicion),
        (Duration::from_secs(1), Duration::from_secs(5))
    );
    assert!(!given.ring && given.node.as_deref() == Some("x"));
}

/// What is wrong alone and beside others, each at its own place.
#[test]
fn mistakes_are_told_where_they_are() {
    let many = format!("[{}]", vec!["\"10.0.0.1:1\""; 65].join(","));
    let cases = [
        (GOOD.replace("shop", ""), "\"\"", "`name`"),
        (GOOD.replace("\"a\"", "\"a b\""), "\"a b\"", "`zone`"),
        (format!("{GOOD}node = \"é\""), "\"é\"", "`node`"),
        (format!("{GOOD}probe = \"50ms\""), "\"50ms\"", "`probe`"),
        (format!("{GOOD}timeout = \"300ms\""), "\"300ms\"", "half of `probe`"),
        (format!("{GOOD}suspicion = \"1s\""), "\"1s\"", "four times `probe`"),
        (format!("{GOOD}forget = \"3s\""), "\"3s\"", "`forget`"),
        (format!("{GOOD}members = 1"), "1", "`members`"),
        (GOOD.replace("[\"10.0.0.1:7946\"]", &many), many.as_str(), "`seeds`"),
        (GOOD.replace("127.0.0.1:0", "0.0.0.0:7946"), "\"0.0.0.0:7946\"", "`advertise`"),
        (format!("{GOOD}advertise = \"10.0.0.1:0\""), "\"10.0.0.1:0\"", "an address and a port"),
    ];
    for (text, place, problem) in cases {
        let wrong = compile(&text).expect_err(&text);
        assert_eq!(&text[wrong.span.clone()], place, "{text}");
        assert!(wrong.problem.contains(problem), "{}: {text}", wrong.problem);
    }
    for text in [format!("{GOOD}probes = 1"), GOOD.replace("zone", "zones"), format!("{GOOD}probe = 400")] {
        assert!(toml::from_str::<ClusterTable>(&text).is_err(), "{text}");
    }
}

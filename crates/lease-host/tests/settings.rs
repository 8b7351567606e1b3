//! The `[lease]` table: what is taken, and where in the file a mistake is.

use birchswitch_cluster_host::SettingError;
use birchswitch_lease_host::{LeaseSettings, LeaseTable};
use std::time::Duration;

const GOOD: &str = "voters = [\"10.0.0.1:7946\", \"10.0.0.2:7946\", \"10.0.0.3:7946\"]\n";

fn compile(text: &str) -> Result<LeaseSettings, SettingError> {
    toml::from_str::<LeaseTable>(text).expect("its form is right").compile()
}

#[test]
fn defaults_and_given_times_are_taken() {
    let plain = compile(GOOD).expect("it is right");
    assert_eq!((plain.terms.ttl, plain.terms.drift, plain.rate), (Duration::from_secs(10), 50, 1000));
    let given =
        compile(&format!("{GOOD}ttl = \"4s\"\nround = \"1s\"\ndrift = 0.01\ndrill = {{ rate = 1.04 }}"));
    let given = given.expect("it is right");
    assert_eq!((given.terms.ttl, given.terms.round), (Duration::from_secs(4), Duration::from_secs(1)));
    assert_eq!((given.terms.drift, given.rate), (10, 1040));
}

#[test]
fn mistakes_are_told_where_they_are() {
    let two = "[\"10.0.0.1:7946\", \"10.0.0.2:7946\"]";
    let twice = "[\"10.0.0.1:7946\", \"10.0.0.2:7946\", \"10.0.0.1:7946\"]";
    let cases = [
        (format!("voters = {two}\n"), two, "`voters`"),
        (format!("voters = {twice}\n"), twice, "twice"),
        (format!("{GOOD}ttl = \"500ms\""), "\"500ms\"", "`ttl`"),
        (format!("{GOOD}round = \"4s\""), "\"4s\"", "`round`"),
        (format!("{GOOD}drift = 0.5"), "0.5", "`drift`"),
        (format!("{GOOD}drill = {{ rate = 9.0 }}"), "{ rate = 9.0 }", "`rate`"),
    ];
    for (text, place, problem) in cases {
        let wrong = compile(&text).expect_err(&text);
        assert_eq!(&text[wrong.span.clone()], place, "{text}");
        assert!(wrong.problem.contains(problem), "{}: {text}", wrong.problem);
    }
    for text in
        [format!("{GOOD}ttls = \"1s\""), format!("{GOOD}drill = {{ without = [\"care\"] }}"), String::new()]
    {
        assert!(toml::from_str::<LeaseTable>(&text).is_err(), "{text}");
    }
}

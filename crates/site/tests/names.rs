//! Parsing of names and prices in the settings.

use birchswitch_site::{parse, ReportField};

#[test]
fn names_are_kept_in_the_order_of_the_settings() {
    let text = br#"{
        "profiles": [
            {"name": "buy", "promise_ns": 1, "deadline_ns": 2, "effect": "single_shot", "importance": 1.0},
            {"name": "top", "promise_ns": 1, "deadline_ns": 2, "effect": "free", "importance": 1.0}],
        "tenants": [{"name": "a", "quota_per_s": 1.0}, {"name": "b", "quota_per_s": 2.0}],
        "zones": ["x", "y"], "kinds": ["k"], "registry_mode": "automatic", "limits": {"try_limit": 1},
        "report": {"fields": ["backlog", "other"], "how": "pull"},
        "rules": {"cold_from": 0.1, "drain_grace_ns": 1, "fall_multiple": 3.0, "overload_for_ns": 1, "warm_up_ns": 1}
    }"#;
    let config = parse(text).expect("valid settings");
    assert_eq!(config.names.classes, ["buy", "top"]);
    assert_eq!(config.names.tenants, ["a", "b"]);
    assert_eq!(config.names.zones, ["x", "y"]);
    assert_eq!(config.names.kinds, ["k"]);
    assert_eq!(config.names.fields, ["backlog", "other"]);
    assert_eq!(config.fields, [ReportField::Backlog, ReportField::Other]);
}

/// An invalid price counts as zero and must not reject the settings: prices only weigh costs, they permit
/// nothing.
#[test]
fn invalid_prices_count_as_zero() {
    let text = |prices: &str| {
        format!(
            r#"{{"balancers":3,"me":2,"prices":{prices},"profiles":[{{"promise_ns":1,"deadline_ns":2,"effect":"free","importance":1}}],
            "registry_mode":"automatic","limits":{{"try_limit":1}},"report":{{"how":"pull"}},
            "rules":{{"cold_from":0.1,"drain_grace_ns":1,"fall_multiple":3,"overload_for_ns":1,"warm_up_ns":1}}}}"#
        )
    };
    let prices = |prices: &str| {
        let config =
            birchswitch_site::parse(text(prices).as_bytes()).unwrap_or_else(|e| panic!("{prices}: {e}"));
        config.settings.check().unwrap_or_else(|e| panic!("{prices}: {e}"));
        (config.settings.prices.probe, config.settings.prices.handshake)
    };
    assert_eq!(prices(r#"{"probe":0.08,"handshake":0.05,"waste":0.1}"#), (0.08, 0.05));
    assert_eq!(prices("{}"), (0.0, 0.0));
    for bad in ["-1", "null", "\"NaN\"", "[]", "true"] {
        assert_eq!(prices(&format!(r#"{{"probe":{bad},"handshake":{bad}}}"#)), (0.0, 0.0));
    }
}

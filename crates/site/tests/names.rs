//! The names that the settings give, by which messages refer to positions.

use birchswitch_site::{parse, Field};

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
    let config = parse(text).expect("good settings");
    assert_eq!(config.names.classes, ["buy", "top"]);
    assert_eq!(config.names.tenants, ["a", "b"]);
    assert_eq!(config.names.zones, ["x", "y"]);
    assert_eq!(config.names.kinds, ["k"]);
    assert_eq!(config.names.fields, ["backlog", "other"]);
    assert_eq!(config.fields, [Field::Backlog, Field::Other]);
}

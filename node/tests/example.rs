//! The example of the operator's file is accepted by a node, with all its parts enabled.

use birchswitch_standin::process::{node_binary, ConfigFile};
use birchswitch_standin::scripted::settings;
use serde_json::json;
use std::path::Path;
use std::process::Command;

#[test]
fn the_example_operators_file_is_valid() {
    let mut settings = settings();
    let profiles = settings["profiles"].as_array_mut().expect("profiles");
    for (profile, name) in profiles.iter_mut().zip(["gem-topup-list", "gem-topup", "item-buy"]) {
        profile["name"] = json!(name);
    }
    settings["tenants"] = json!([{"name": "dalbit", "quota_per_s": 1000.0, "share": 1.0}]);
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "limits": {"sockets": 4096, "memory_mb": 512}, "settings": settings,
    });
    let config = ConfigFile::new(&config.to_string()).expect("a configuration");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/operator.example.toml");
    let check = |operator: &Path| {
        let mut command = Command::new(node_binary().expect("this program's path"));
        command.arg("check").env_clear().env("GW_CONFIG", config.path()).env("GW_OPERATOR", operator);
        command.output().expect("it runs")
    };
    let valid = check(&example);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert!(valid.status.success(), "{}", text(&valid.stderr));
    // Each part without what it depends on is reported with its position.
    let complete = std::fs::read_to_string(&example).expect("the example");
    for (without, problem) in [
        ("[mesh]\nbind = \"127.0.0.1:7950\"\nconnections = 64\n", "want a [lease] and a [mesh] table"),
        ("[ledger]\nnodes = [\"n1\", \"n2\", \"n3\"]\nfolder = \"ledger\"\n", "want a [ledger]"),
        ("folder = \"ledger\"\n", "it wants a `folder` that lasts"),
    ] {
        assert!(complete.contains(without), "{without}");
        let operator = ConfigFile::new(&complete.replace(without, "")).expect("an operator's file");
        let invalid = check(&operator.path());
        assert_eq!(invalid.status.code(), Some(1), "{without}");
        let stderr = text(&invalid.stderr);
        assert!(
            stderr.contains(problem) && stderr.contains(", line ") && stderr.trim().lines().count() == 1,
            "{stderr}"
        );
    }
}

//! Structure of the policy: line width, dependencies between modules, and its files named in the deploy file.

use std::path::Path;

/// The modules of the policy; each may depend only on those after it.
const MODULES: [&str; 8] =
    ["mod", "probes", "attempts", "admission", "market", "aperture", "estimate", "cold"];
/// Their files. Large modules are folders.
const FILES: [&str; 14] = [
    "mod",
    "probes",
    "attempts",
    "admission/mod",
    "admission/shedding",
    "admission/threshold",
    "market/mod",
    "market/prices",
    "market/shares",
    "aperture",
    "estimate/mod",
    "estimate/staleness",
    "estimate/distribution",
    "cold",
];

fn text(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("src").join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// The files of a module.
fn files(module: &str) -> impl Iterator<Item = String> + '_ {
    let folder = format!("{module}/");
    FILES.iter().filter(move |f| **f == module || f.starts_with(&folder)).map(|f| format!("policy/{f}.rs"))
}

#[test]
fn policy_lines_are_narrow() {
    for file in FILES {
        let text = text(&format!("policy/{file}.rs"));
        let wide: Vec<&str> = text.lines().filter(|l| l.chars().count() > 110).collect();
        assert!(wide.is_empty(), "{file} is too wide: {wide:?}");
    }
    assert!(text("policy/mod.rs").lines().next().is_some_and(|l| l.contains("src/interface.rs")));
}

#[test]
fn modules_depend_in_one_direction() {
    for (k, module) in MODULES.iter().enumerate() {
        for text in files(module).map(|f| text(&f)) {
            for above in &MODULES[1..=k.max(1)] {
                let call = format!("{above}::");
                let found = text.lines().find(|l| {
                    l.contains(&call)
                        && !l.trim_start().starts_with("//")
                        && !l.contains(&format!("{module}::"))
                });
                assert!(
                    k == 0 || *above == *module || found.is_none(),
                    "{module} depends on {above}: {found:?}"
                );
            }
            assert!(!text.contains("super::*"), "{module} must import names explicitly");
        }
    }
    assert!(!text("interface.rs").contains("policy"), "the interface must not depend on the policy");
    let known = text("state.rs").replace("crate::policy::LoadHistory", "");
    assert!(!known.contains("policy"), "state.rs may use only LoadHistory of the policy");
    let parts = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/state").read_dir().expect("a folder");
    for part in parts.map(|entry| entry.expect("an entry").file_name()) {
        let part = part.into_string().expect("a name in ASCII");
        assert!(!text(&format!("state/{part}")).contains("policy"), "state/{part} may not use the policy");
    }
}

/// Every file of the folder is listed here and in the deploy file.
#[test]
fn every_policy_file_is_in_the_deploy_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    let mut folders = vec![root.join("src/policy")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder").map(|e| e.expect("an entry").path()) {
            match entry.is_dir() {
                true if entry.ends_with("tests") => {}
                true => folders.push(entry),
                false => found.push(entry),
            }
        }
    }
    let mut found: Vec<String> = found
        .iter()
        .filter_map(|f| f.strip_prefix(root.join("src/policy")).ok()?.to_str()?.strip_suffix(".rs"))
        .map(str::to_owned)
        .collect();
    found.sort();
    let mut named = FILES.map(str::to_owned);
    named.sort();
    assert_eq!(found, named);
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    for file in FILES {
        assert!(deploy.contains(&format!("src/policy/{file}.rs")), "{file} is not in deploy/balancer.toml");
    }
}

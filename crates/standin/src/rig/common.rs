//! All fleet-wide functions together under random faults: limits, wallet, verdicts and weights.

use super::bounds::max_rate_excess;
use super::cases::CaseError;
use super::history::Nanos;
use super::load::{RequestOutcome, RequestSpec};
use super::scale::measure::{usage, Usage};
use super::wallet::{Case, Shown, WalletRig, ACCOUNT, BASELINE};
use crate::script::Script;
use birchswitch_lab::rng::Rng;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Rate and burst of the tenant with a limit, in requests per second and requests; `transit` uses half a second's worth
/// of the burst.
const PER_S: f64 = 60.0;
const BURST: f64 = 80.0;
/// Requests per second at each node.
const EACH: f64 = 12.0;
/// Units of a top-up, which is made when less than twice as many are left.
const PAID: u64 = 2000;

const TABLES: &str = "[quota]\nrenew = \"200ms\"\nttl = \"3s\"\ntransit = \"500ms\"\n\
    [[limits]]\nname = \"two\"\ntenant = \"two\"\nper_s = 60.0\nburst = 80.0\nwhen_cut = \"strict\"\n\
    [verdicts]\nrenew = \"300ms\"\nttl = \"2s\"\n[tuner]\nlook = \"1s\"\nttl = \"4s\"\npercentile = 95.0\n";

/// Result of a run.
pub struct Outcome {
    /// What did not hold.
    pub violations: Vec<String>,
    /// Number of faults of each kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// State of the account at the end.
    pub shown: Shown,
    /// Number of requests: all, served, refused, failed, without an answer.
    pub ended: [usize; 5],
    /// Requests beyond the limit in the worst window; 0 or less means that the limit held.
    pub rate_excess: f64,
    /// For each minute, the largest memory in kB and the largest number of descriptors of any process.
    pub sizes: Vec<(u64, usize)>,
}

/// Generates a few seconds of faults, healed at the end, and names their kind.
fn fault(rng: &mut Rng, nodes: usize) -> (&'static str, String) {
    let node = |rng: &mut Rng| rng.below(nodes);
    match rng.below(6) {
        0 => {
            let (a, b) = (node(rng), node(rng));
            ("die", format!("0s n{a} die\n0s n{b} die\n2s n{a} start\n2s n{b} start\n4s wire lose 0"))
        }
        1 => {
            let (a, b) = (node(rng), node(rng));
            ("pause", format!("0s n{a} pause 3s\n500ms n{b} pause 4s\n5s wire lose 0"))
        }
        2 => {
            let at = 1 + rng.below(nodes - 2);
            (
                "split",
                format!("0s wire split n0-n{at} n{}-n{}\n4s wire heal\n5s wire lose 0", at + 1, nodes - 1),
            )
        }
        3 => {
            let at = node(rng);
            ("cut", format!("0s wire cut n{at} n0-n{}\n4s wire heal\n5s wire lose 0", nodes - 1))
        }
        4 => ("lose", "0s wire lose 0.1\n5s wire lose 0".to_owned()),
        _ => {
            let at = node(rng);
            ("stutter", format!("0s n{at} stutter 400ms for 4s\n5s wire lose 0"))
        }
    }
}

/// Runs random faults for a number of minutes.
pub async fn play(
    nodes: usize,
    minutes: u64,
    binary: PathBuf,
    seed: u64,
    mut report: impl FnMut(u64, &str),
) -> Result<Outcome, CaseError> {
    let case = Case { nodes, overdraft: 100, extra_tables: TABLES, seed, ..BASELINE };
    let mut wallet = WalletRig::open(&case, binary).await?;
    wallet.top_up(&[0], "p0", PAID).await;
    let order = |class: &str, tenant: &str| RequestSpec {
        class: class.into(),
        tenant: tenant.into(),
        key: (class == "keyed").then(String::new),
        cost: None,
    };
    let mix =
        [("safe", ACCOUNT), ("unsafe", "two"), ("keyed", ACCOUNT), ("safe", "two"), ("unsafe", ACCOUNT)];
    let orders: Vec<RequestSpec> = mix.iter().map(|(class, tenant)| order(class, tenant)).collect();
    wallet.start_load(EACH, &orders);
    let (mut rng, mut faults, mut sizes) = (Rng::new(seed, 21), BTreeMap::new(), Vec::new());
    let (began, mut paid) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_secs(minutes * 60) {
        let (kind, script) = fault(&mut rng, nodes);
        *faults.entry(kind).or_default() += 1;
        report(began.elapsed().as_secs(), &script.replace('\n', "; "));
        let parsed = Script::parse(&script, 0, nodes)?;
        wallet.rig.set_script(Script { seed, ..parsed });
        wallet.rig.play(|_| ()).await?;
        let shown = wallet.shown().await;
        if shown.balance + shown.outstanding < 2 * PAID as i64 && rng.below(3) > 0 {
            paid += 1;
            let id = format!("p{paid}");
            for node in [1, 3, 5, 1, 3] {
                wallet.top_up(&[node % nodes, 0], &id, PAID).await;
            }
        }
        sleep(Duration::from_secs(1 + rng.below(3) as u64)).await;
        if sizes.len() < (began.elapsed().as_secs() / 60) as usize {
            sizes.push(largest(&wallet));
        }
    }
    let ended = wallet.stop_load().await;
    let shown = wallet.wait_until("all quiet", |s| s.outstanding == 0).await;
    let mut violations = wallet.violations(&case, true).await;
    let received = wallet.site.received();
    let limited: Vec<Nanos> = received.iter().filter(|s| s.tenant == "two").map(|s| s.at).collect();
    let rate_excess = max_rate_excess(&limited, PER_S, BURST);
    if rate_excess > 0.0 {
        violations.push(format!("{rate_excess:.3} requests over {PER_S} W + {BURST} in some window"));
    }
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    received.iter().filter(|s| s.class == "unsafe").for_each(|s| *runs.entry(&s.id).or_default() += 1);
    let twice = runs.values().filter(|n| **n > 1).count();
    if twice > 0 {
        violations.push(format!("{twice} unsafe requests ran more than once"));
    }
    wallet.rig.close().await?;
    let count = |of: &dyn Fn(&RequestOutcome) -> bool| ended.iter().filter(|e| of(e)).count();
    let ended = [
        ended.len(),
        count(&|e| e.status == Some(200)),
        count(&|e| e.status == Some(503)),
        count(&|e| e.status.is_some_and(|s| s != 200 && s != 503)),
        count(&|e| e.status.is_none()),
    ];
    Ok(Outcome { violations, faults, shown, ended, rate_excess, sizes })
}

/// The largest memory in kB and the largest number of descriptors of any process.
fn largest(wallet: &WalletRig) -> (u64, usize) {
    let mut most = (0, 0);
    for pid in wallet.rig.places().into_iter().filter_map(|place| wallet.rig.pid(place)) {
        let Usage { memory_kb, descriptors, .. } = usage(pid);
        most = (most.0.max(memory_kb), most.1.max(descriptors));
    }
    most
}

//! The `[[wallet]]` and `[ledger]` tables of an operator's file.

use crate::account::targets::AccountTerms;
use crate::price::Prices;
use birchswitch_cluster_host::{HumanDuration, SettingError, SettingSpans};
use birchswitch_site::Names;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// A `[[wallet]]` table as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WalletTable {
    tenant: Spanned<String>,
    /// Price of classes that `prices` does not name.
    price: Option<Spanned<u64>>,
    #[serde(default)]
    prices: BTreeMap<String, Spanned<u64>>,
    per_ms: Option<Spanned<u64>>,
    overdraft: Option<Spanned<u64>>,
    low: Option<Spanned<u64>>,
    resume: Option<Spanned<u64>>,
    ahead: Option<Spanned<HumanDuration>>,
}

/// The `[ledger]` table as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerTable {
    nodes: Spanned<Vec<String>>,
    folder: Option<Spanned<PathBuf>>,
    most_mb: Option<Spanned<u64>>,
    renew: Option<Spanned<HumanDuration>>,
    ttl: Option<Spanned<HumanDuration>>,
    drill: Option<Drill>,
}

/// Overrides for drills, which switch safeguards off.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Drill {
    #[serde(default)]
    without: Vec<Without>,
    most_kb: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Without {
    Doubts,
    Ids,
    Once,
}

/// The validated settings of the wallet.
#[derive(Clone, Debug)]
pub struct WalletSettings {
    /// The accounts.
    pub accounts: Vec<AccountTerms>,
    /// The names of the ledger's replicas.
    pub nodes: Vec<String>,
    /// The ledger's folder on this node, if it is a replica.
    pub folder: Option<PathBuf>,
    /// Largest size of the ledger's file in bytes.
    pub max_bytes: u64,
    /// Time between two renewals of a node.
    pub renew: Duration,
    /// For how long allotments may be spent from.
    pub ttl: Duration,
    /// Safeguards: allotments in doubt are kept, payment ids are unique, and requests are debited once.
    pub safeguards: [bool; 3],
}

/// Largest number of units in any setting.
const MAX_UNITS: u64 = 1 << 53;

impl WalletSettings {
    /// Validates the tables against the site's names. `own` is this node's member name.
    pub fn new(
        accounts: &[Spanned<WalletTable>],
        ledger: &Spanned<LedgerTable>,
        names: &Names,
        own: &str,
    ) -> Result<WalletSettings, SettingError> {
        let (mut spans, table) = (SettingSpans::new("ledger", ledger), ledger.get_ref());
        let nodes = table.nodes.get_ref().clone();
        let nodes_error = |problem: String| SettingError { span: table.nodes.span(), problem };
        if !matches!(nodes.len(), 3 | 5) {
            return Err(nodes_error(format!("`nodes` has to name 3 or 5 nodes, not {}", nodes.len())));
        }
        if let Some(duplicate) = nodes.iter().enumerate().find(|(n, name)| nodes[..*n].contains(name)) {
            return Err(nodes_error(format!("`nodes` names {:?} twice", duplicate.1)));
        }
        let folder = spans.record("folder", &table.folder).cloned();
        let is_replica = nodes.iter().any(|n| n == own);
        if is_replica && folder.is_none() {
            let problem = format!("{own:?} keeps the ledger: it wants a `folder` that lasts");
            return Err(nodes_error(problem));
        }
        let (mut renew, mut ttl) = (Duration::from_millis(250), Duration::from_secs(4));
        spans.apply_duration("renew", &table.renew, &mut renew);
        spans.apply_duration("ttl", &table.ttl, &mut ttl);
        if !(Duration::from_millis(50)..=Duration::from_secs(30)).contains(&renew) {
            return Err(spans.error_at("renew", "`renew` has to be 50ms to 30s"));
        }
        if ttl < renew * 4 || ttl > Duration::from_secs(600) {
            return Err(spans.error_at("ttl", "`ttl` has to be at least four times `renew`, and at most 10m"));
        }
        let most_mb = spans.record("most_mb", &table.most_mb).copied().unwrap_or(1024);
        if !(16..=1 << 20).contains(&most_mb) {
            return Err(spans.error_at("most_mb", "`most_mb` has to be 16 to 1048576"));
        }
        let drill = table.drill.clone().unwrap_or_default();
        let enabled = |safeguard| !drill.without.contains(&safeguard);
        let accounts: Result<Vec<AccountTerms>, SettingError> =
            accounts.iter().map(|table| account_terms(table, names)).collect();
        let accounts = accounts?;
        if let Some((n, _)) = accounts
            .iter()
            .enumerate()
            .find(|(n, account)| accounts[..*n].iter().any(|earlier| earlier.account == account.account))
        {
            let problem = format!("two accounts are {:?}'s", accounts[n].account);
            return Err(SettingError { span: ledger.span(), problem });
        }
        Ok(WalletSettings {
            accounts,
            nodes,
            folder: folder.filter(|_| is_replica),
            max_bytes: drill.most_kb.map_or(most_mb << 20, |kb| kb << 10),
            renew,
            ttl,
            safeguards: [enabled(Without::Doubts), enabled(Without::Ids), enabled(Without::Once)],
        })
    }
}

fn account_terms(written: &Spanned<WalletTable>, names: &Names) -> Result<AccountTerms, SettingError> {
    let table = written.get_ref();
    let mut spans = SettingSpans::new("tenant", &table.tenant);
    if !names.tenants.contains(table.tenant.get_ref()) {
        let problem = format!("the site's settings name no tenant {:?}", table.tenant.get_ref());
        return Err(spans.error_at("tenant", problem));
    }
    let units = |spans: &mut SettingSpans, key, given: &Option<Spanned<u64>>, default| {
        let units = spans.record(key, given).copied().unwrap_or(default);
        match units <= MAX_UNITS {
            true => Ok(units),
            false => Err(spans.error_at(key, format!("`{key}` has to be at most {MAX_UNITS}"))),
        }
    };
    let price = units(&mut spans, "price", &table.price, 1)?;
    let mut classes = vec![price; names.classes.len()];
    for (class, given) in &table.prices {
        let span = given.span();
        let Some(at) = names.classes.iter().position(|c| c == class) else {
            return Err(SettingError {
                span,
                problem: format!("the site's settings name no class {class:?}"),
            });
        };
        if *given.get_ref() > MAX_UNITS {
            return Err(SettingError { span, problem: format!("a price has to be at most {MAX_UNITS}") });
        }
        classes[at] = *given.get_ref();
    }
    let per_ms = units(&mut spans, "per_ms", &table.per_ms, 0)?;
    if per_ms == 0 && classes.iter().all(|p| *p == 0) {
        return Err(spans.error_at("price", "an account of which nothing costs anything is none"));
    }
    let prices = Prices { classes, per_ms };
    let overdraft = units(&mut spans, "overdraft", &table.overdraft, 0)?;
    let low = units(&mut spans, "low", &table.low, prices.max_price().saturating_mul(1000).min(MAX_UNITS))?;
    let resume =
        units(&mut spans, "resume", &table.resume, prices.max_price().saturating_mul(10).min(MAX_UNITS))?;
    let mut ahead = Duration::from_secs(2);
    spans.apply_duration("ahead", &table.ahead, &mut ahead);
    if !(Duration::from_millis(200)..=Duration::from_secs(60)).contains(&ahead) {
        return Err(spans.error_at("ahead", "`ahead` has to be 200ms to 60s"));
    }
    Ok(AccountTerms { account: table.tenant.get_ref().clone(), prices, overdraft, low, resume, ahead })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Deserialize)]
    struct File {
        #[serde(default)]
        wallet: Vec<Spanned<WalletTable>>,
        ledger: Spanned<LedgerTable>,
    }

    fn validate(text: &str) -> Result<WalletSettings, String> {
        let file: File = toml::from_str(text).expect("a well-formed file");
        let names = Names {
            classes: vec!["buy".into(), "look".into()],
            tenants: vec!["t".into()],
            ..Names::default()
        };
        WalletSettings::new(&file.wallet, &file.ledger, &names, "n0")
            .map_err(|w| format!("{:?}: {}", text.get(w.span).unwrap_or_default(), w.problem))
    }

    const LEDGER: &str = "[ledger]\nnodes = [\"n0\", \"n1\", \"n2\"]\nfolder = \"/x\"\n";

    #[test]
    fn classes_without_a_price_cost_one() {
        let text = format!("{LEDGER}[[wallet]]\ntenant = \"t\"\nprices = {{ buy = 5 }}\noverdraft = 7\n");
        let c = validate(&text).expect("valid settings");
        assert_eq!((&c.accounts[0].prices.classes[..], c.accounts[0].overdraft), (&[5, 1][..], 7));
        assert_eq!(c.folder, Some("/x".into()));
    }

    #[test]
    fn errors_point_at_the_offending_setting() {
        let wallet = |lines: &str| format!("{LEDGER}[[wallet]]\n{lines}");
        for (text, expected, problem) in [
            (LEDGER.replace(", \"n2\"", ""), "\"[\\\"n0\\\", \\\"n1\\\"]\"", "3 or 5"),
            (LEDGER.replace("n2", "n1"), "\"[\\\"n0\\\"", "twice"),
            (LEDGER.replace("folder = \"/x\"\n", ""), "\"[\\\"n0\\\"", "a `folder` that lasts"),
            (format!("{LEDGER}ttl = \"500ms\""), "\"\\\"500ms\\\"\"", "four times"),
            (format!("{LEDGER}most_mb = 1"), "\"1\"", "`most_mb`"),
            (wallet("tenant = \"x\""), "\"\\\"x\\\"\"", "no tenant"),
            (wallet("tenant = \"t\"\nprices = { sell = 1 }"), "\"1\"", "no class"),
            (wallet("tenant = \"t\"\nprice = 0"), "\"0\"", "nothing costs"),
            (wallet("tenant = \"t\"\nahead = \"1ms\""), "\"\\\"1ms\\\"\"", "`ahead`"),
        ] {
            let error = validate(&text).expect_err(&text);
            assert!(error.starts_with(expected) && error.contains(problem), "{error}");
        }
    }
}

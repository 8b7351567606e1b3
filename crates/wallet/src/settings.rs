//! The `[[wallet]]` tables of an operator's file, and `[ledger]` beside them.

use crate::account::targets::AccountTerms;
use crate::price::Prices;
use birchswitch_cluster_host::{HumanDuration, SettingError, SettingSpans};
use birchswitch_site::Names;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// One account as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WalletTable {
    tenant: Spanned<String>,
    /// For classes that `prices` does not name.
    price: Option<Spanned<u64>>,
    #[serde(default)]
    prices: BTreeMap<String, Spanned<u64>>,
    per_ms: Option<Spanned<u64>>,
    overdraft: Option<Spanned<u64>>,
    low: Option<Spanned<u64>>,
    resume: Option<Spanned<u64>>,
    ahead: Option<Spanned<HumanDuration>>,
}

/// `[ledger]` as it is written.
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

/// What tests take away.
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

/// All of it, checked.
#[derive(Clone, Debug)]
pub struct WalletSettings {
    /// The accounts.
    pub accounts: Vec<AccountTerms>,
    /// The names of the nodes that keep the ledger.
    pub nodes: Vec<String>,
    /// Where this one keeps it, if it does.
    pub folder: Option<PathBuf>,
    /// Bytes that it may take there.
    pub max_bytes: u64,
    /// Between two questions of a node.
    pub renew: Duration,
    /// For how long parts may be used.
    pub ttl: Duration,
    /// Safeguards: parts in doubt count, payments count once by their ids, requests are debited once.
    pub safeguards: [bool; 3],
}

/// Most whole units of any setting.
const MOST: u64 = 1 << 53;

impl WalletSettings {
    /// Checks the tables beside the site's names; `own` is this node's name among the members.
    pub fn new(
        accounts: &[Spanned<WalletTable>],
        ledger: &Spanned<LedgerTable>,
        names: &Names,
        own: &str,
    ) -> Result<WalletSettings, SettingError> {
        let (mut places, table) = (SettingSpans::new("ledger", ledger), ledger.get_ref());
        let nodes = table.nodes.get_ref().clone();
        let wrong_nodes = |problem: String| SettingError { span: table.nodes.span(), problem };
        if !matches!(nodes.len(), 3 | 5) {
            return Err(wrong_nodes(format!("`nodes` has to name 3 or 5 nodes, not {}", nodes.len())));
        }
        if let Some(twice) = nodes.iter().enumerate().find(|(n, name)| nodes[..*n].contains(name)) {
            return Err(wrong_nodes(format!("`nodes` names {:?} twice", twice.1)));
        }
        let folder = places.record("folder", &table.folder).cloned();
        let keeps = nodes.iter().any(|n| n == own);
        if keeps && folder.is_none() {
            let problem = format!("{own:?} keeps the ledger: it wants a `folder` that lasts");
            return Err(wrong_nodes(problem));
        }
        let (mut renew, mut ttl) = (Duration::from_millis(250), Duration::from_secs(4));
        places.apply_duration("renew", &table.renew, &mut renew);
        places.apply_duration("ttl", &table.ttl, &mut ttl);
        if !(Duration::from_millis(50)..=Duration::from_secs(30)).contains(&renew) {
            return Err(places.error_at("renew", "`renew` has to be 50ms to 30s"));
        }
        if ttl < renew * 4 || ttl > Duration::from_secs(600) {
            return Err(
                places.error_at("ttl", "`ttl` has to be at least four times `renew`, and at most 10m")
            );
        }
        let most = places.record("most_mb", &table.most_mb).copied().unwrap_or(1024);
        if !(16..=1 << 20).contains(&most) {
            return Err(places.error_at("most_mb", "`most_mb` has to be 16 to 1048576"));
        }
        let drill = table.drill.clone().unwrap_or_default();
        let on = |w| !drill.without.contains(&w);
        let accounts: Result<Vec<AccountTerms>, SettingError> =
            accounts.iter().map(|a| account(a, names)).collect();
        let accounts = accounts?;
        if let Some((n, _)) =
            accounts.iter().enumerate().find(|(n, a)| accounts[..*n].iter().any(|b| b.account == a.account))
        {
            let problem = format!("two accounts are {:?}'s", accounts[n].account);
            return Err(SettingError { span: ledger.span(), problem });
        }
        Ok(WalletSettings {
            accounts,
            nodes,
            folder: folder.filter(|_| keeps),
            max_bytes: drill.most_kb.map_or(most << 20, |kb| kb << 10),
            renew,
            ttl,
            safeguards: [on(Without::Doubts), on(Without::Ids), on(Without::Once)],
        })
    }
}

fn account(written: &Spanned<WalletTable>, names: &Names) -> Result<AccountTerms, SettingError> {
    let table = written.get_ref();
    let mut places = SettingSpans::new("tenant", &table.tenant);
    if !names.tenants.contains(table.tenant.get_ref()) {
        let problem = format!("the site's settings name no tenant {:?}", table.tenant.get_ref());
        return Err(places.error_at("tenant", problem));
    }
    let units = |places: &mut SettingSpans, key, given: &Option<Spanned<u64>>, otherwise| {
        let units = places.record(key, given).copied().unwrap_or(otherwise);
        match units <= MOST {
            true => Ok(units),
            false => Err(places.error_at(key, format!("`{key}` has to be at most {MOST}"))),
        }
    };
    let price = units(&mut places, "price", &table.price, 1)?;
    let mut classes = vec![price; names.classes.len()];
    for (class, given) in &table.prices {
        let span = given.span();
        let Some(at) = names.classes.iter().position(|c| c == class) else {
            return Err(SettingError {
                span,
                problem: format!("the site's settings name no class {class:?}"),
            });
        };
        if *given.get_ref() > MOST {
            return Err(SettingError { span, problem: format!("a price has to be at most {MOST}") });
        }
        classes[at] = *given.get_ref();
    }
    let per_ms = units(&mut places, "per_ms", &table.per_ms, 0)?;
    if per_ms == 0 && classes.iter().all(|p| *p == 0) {
        return Err(places.error_at("price", "an account of which nothing costs anything is none"));
    }
    let prices = Prices { classes, per_ms };
    let overdraft = units(&mut places, "overdraft", &table.overdraft, 0)?;
    let low = units(&mut places, "low", &table.low, prices.most().saturating_mul(1000).min(MOST))?;
    let resume = units(&mut places, "resume", &table.resume, prices.most().saturating_mul(10).min(MOST))?;
    let mut ahead = Duration::from_secs(2);
    places.apply_duration("ahead", &table.ahead, &mut ahead);
    if !(Duration::from_millis(200)..=Duration::from_secs(60)).contains(&ahead) {
        return Err(places.error_at("ahead", "`ahead` has to be 200ms to 60s"));
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

    fn compiled(text: &str) -> Result<WalletSettings, String> {
        let file: File = toml::from_str(text).expect("its form is right");
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
    fn prices_are_by_class_and_otherwise_one() {
        let text = format!("{LEDGER}[[wallet]]\ntenant = \"t\"\nprices = {{ buy = 5 }}\noverdraft = 7\n");
        let c = compiled(&text).expect("it is right");
        assert_eq!((&c.accounts[0].prices.classes[..], c.accounts[0].overdraft), (&[5, 1][..], 7));
        assert_eq!(c.folder, Some("/x".into()));
    }

    #[test]
    fn mistakes_are_told_where_they_are() {
        let wallet = |lines: &str| format!("{LEDGER}[[wallet]]\n{lines}");
        for (text, place, problem) in [
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
            let wrong = compiled(&text).expect_err(&text);
            assert!(wrong.starts_with(place) && wrong.contains(problem), "{wrong}");
        }
    }
}

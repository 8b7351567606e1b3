//! Prepaid accounts on the rig: nodes under load, top-ups through operators' calls, and a comparison of the ledger with
//! the price of what servers received.

use super::cases::CaseError;
use super::load::{Load, NodeLoad, RequestOutcome, RequestSpec};
use super::site::{ReceivedRequest, ServerBehavior, Site};
use super::{LeasePlan, Plan, Rig};
use crate::script::Script;
use serde_json::json;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Tenant with a prepaid account.
pub const ACCOUNT: &str = "one";
/// Price of a request of each class.
pub const PRICES: [(&str, u64); 3] = [("safe", 1), ("keyed", 2), ("unsafe", 5)];
/// Nodes that store the ledger.
pub const LEDGER: [&str; 3] = ["n0", "n1", "n2"];
/// Time limit of an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// A wallet case.
#[derive(Clone, Debug)]
pub struct Case<'a> {
    /// Number of nodes.
    pub nodes: usize,
    /// Safeguards to disable.
    pub without: &'a [&'a str],
    /// Further lines of the `[ledger]` table.
    pub ledger: &'a str,
    /// Units that may be spent beyond the prepaid balance.
    pub overdraft: u64,
    /// Thousandths of requests that servers answer with an error.
    pub error_permille: u32,
    /// Processing time of a request at a server.
    pub service_time: Duration,
    /// Further tables of the operator's file.
    pub extra_tables: &'a str,
    /// Random seed.
    pub seed: u64,
}

/// Twelve nodes without faults.
pub const BASELINE: Case<'static> = Case {
    nodes: 12,
    without: &[],
    ledger: "",
    overdraft: 0,
    error_permille: 0,
    service_time: Duration::from_millis(20),
    extra_tables: "",
    seed: 1,
};

/// State of the account as the ledger reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// Total of all top-ups.
    pub topped: i64,
    /// Units not held by any part.
    pub balance: i64,
    /// Units held by parts.
    pub outstanding: i64,
    /// Units debited.
    pub spent: i64,
    /// Units in doubt: held by parts of processes that are gone.
    pub doubt: i64,
    /// Units debited a second time for the same key, and given back.
    pub twice: i64,
    /// `open`, `low`, `paused` or `frozen`.
    pub state: String,
}

/// A rig with a prepaid account, its servers and the load on its nodes.
pub struct WalletRig {
    /// The nodes.
    pub rig: Rig,
    /// The servers.
    pub site: Site,
    load: Option<Load>,
    node_rates: Vec<Rc<Cell<f64>>>,
    paid: BTreeMap<String, u64>,
}

impl WalletRig {
    /// Starts the nodes and servers, without load, and waits until a node keeps the wallet.
    pub async fn open(case: &Case<'_>, binary: PathBuf) -> Result<WalletRig, CaseError> {
        let mut script = Script::parse("0s wire lose 0", 0, case.nodes)?;
        script.seed = case.seed;
        let behavior = ServerBehavior {
            service_time: case.service_time,
            error_permille: case.error_permille,
            slow_permille: 0,
            reported_load: 0.5,
        };
        let site = Site::start(5, behavior).await.map_err(super::io("a server"))?;
        let prices: Vec<String> = PRICES.iter().map(|(class, price)| format!("{class} = {price}")).collect();
        let operator = format!(
            "[ledger]\nnodes = {}\nfolder = \"{{folder}}\"\nrenew = \"200ms\"\nttl = \"2s\"\n{}\n\
             [[wallet]]\ntenant = \"{ACCOUNT}\"\nprices = {{ {} }}\noverdraft = {}\nlow = 50\nresume = 5\n",
            json!(LEDGER),
            match case.ledger.contains("drill") {
                true => case.ledger.to_owned(),
                false => format!("{}\ndrill = {{ without = {} }}", case.ledger, json!(case.without)),
            },
            prices.join(", "),
            case.overdraft
        ) + case.extra_tables;
        let plan = Plan {
            lease: Some(LeasePlan::new(3)),
            mesh: true,
            folders: true,
            servers: site.addresses(),
            settings: super::limits::settings(),
            operator,
            ..Plan::new(binary, case.nodes, script)
        };
        let rig = Rig::start(plan).await?;
        rig.wait_for_agreement(Duration::from_secs(60)).await?;
        let has_keeper = |h: &super::history::History| h.lines.iter().any(|l| l.kind == "wallet_kept");
        rig.wait_until("a keeper", Duration::from_secs(30), has_keeper, |_| "none".into()).await?;
        Ok(WalletRig { rig, site, load: None, node_rates: Vec::new(), paid: BTreeMap::new() })
    }

    /// Starts requests of the account's tenant at each node, with these classes in rotation.
    pub fn load(&mut self, per_s: f64, classes: &[&str]) {
        let order = |class: &&str| RequestSpec {
            class: (*class).into(),
            tenant: ACCOUNT.into(),
            key: (*class == "keyed").then(String::new),
            cost: None,
        };
        let orders: Vec<RequestSpec> = classes.iter().map(order).collect();
        self.start_load(per_s, &orders);
    }

    /// Starts requests at each node, with these templates in rotation.
    pub fn start_load(&mut self, per_s: f64, orders: &[RequestSpec]) {
        let nodes = self.rig.client_addresses().borrow().len();
        let rates: Vec<NodeLoad> = (0..nodes)
            .map(|_| NodeLoad { per_s: Rc::new(Cell::new(per_s)), requests: orders.to_vec() })
            .collect();
        self.node_rates = rates.iter().map(|r| r.per_s.clone()).collect();
        self.load = Some(Load::start(rates, self.rig.client_addresses()));
    }

    /// Changes the request rate at a node.
    pub fn set_rate(&self, node: usize, per_s: f64) {
        self.node_rates[node].set(per_s);
    }

    /// Stops the load and returns the outcomes of all requests.
    pub async fn stop_load(&mut self) -> Vec<RequestOutcome> {
        match self.load.take() {
            Some(load) => load.stop().await,
            None => Vec::new(),
        }
    }

    /// Outcomes of requests so far.
    pub fn outcomes(&self) -> Vec<RequestOutcome> {
        self.load.as_ref().map(Load::outcomes).unwrap_or_default()
    }

    /// Makes an operator's call at a node. None if there is no answer in time.
    pub async fn call(&self, node: usize, line: &str) -> Option<String> {
        let address: SocketAddr = self.rig.ops_address(node)?;
        let exchange = async {
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.write_all(format!("{line}\n").as_bytes()).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            Some(answer)
        };
        timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
    }

    /// Tops the account up, trying these nodes in rotation until one confirms.
    pub async fn top_up(&mut self, nodes: &[usize], id: &str, units: u64) {
        self.paid.insert(id.to_owned(), units);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(60) {
            for node in nodes {
                let answer = self.call(*node, &format!("WALLET TOPUP {ACCOUNT} {id} {units}")).await;
                if answer.is_some_and(|a| a.contains("topped up")) {
                    return;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the top-up was never confirmed");
    }

    /// Total of all top-ups that were requested.
    pub fn total_topped_up(&self) -> u64 {
        self.paid.values().sum()
    }

    /// State of the account, from the first node that answers.
    pub async fn shown(&self) -> Shown {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(60) {
            for node in self.rig.places() {
                let answer = self.call(node, "WALLET").await.unwrap_or_default();
                let line = answer.lines().find(|l| l.starts_with(&format!("{ACCOUNT} ")));
                let words: Vec<&str> = line.unwrap_or_default().split(' ').collect();
                if let [_, topped, balance, outstanding, spent, doubt, twice, state] = words[..] {
                    let number = |text: &str| text.parse().unwrap_or(i64::MIN);
                    return Shown {
                        topped: number(topped),
                        balance: number(balance),
                        outstanding: number(outstanding),
                        spent: number(spent),
                        doubt: number(doubt),
                        twice: number(twice),
                        state: state.to_owned(),
                    };
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("no node reported the account");
    }

    /// Waits until a condition on the account holds.
    pub async fn wait_until(&self, what: &str, condition: impl Fn(&Shown) -> bool) -> Shown {
        let began = Instant::now();
        loop {
            let shown = self.shown().await;
            if condition(&shown) {
                return shown;
            }
            assert!(began.elapsed() < Duration::from_secs(60), "timed out waiting for {what}: {shown:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Price of the requests that reached servers, counting each request id or key once.
    pub fn cost_at_servers(&self) -> u64 {
        let received = self.site.received();
        let prepaid = received.iter().filter(|s| s.tenant == ACCOUNT);
        let price = |s: &ReceivedRequest| PRICES.iter().find(|p| p.0 == s.class).map_or(0, |p| p.1);
        let name =
            |s: &ReceivedRequest| if s.key.is_empty() { s.id.clone() } else { format!("key {}", s.key) };
        let each: BTreeMap<String, u64> = prepaid.map(|s| (name(s), price(s))).collect();
        each.values().sum()
    }

    /// What does not hold: the spending bound at any time, and also the account's balance equations if the load has
    /// stopped and settled (`quiet`).
    pub async fn violations(&self, case: &Case<'_>, quiet: bool) -> Vec<String> {
        let (at_servers, most) = (self.cost_at_servers(), self.total_topped_up() + case.overdraft);
        let mut violations = Vec::new();
        if at_servers > most {
            violations.push(format!(
                "requests for {at_servers} units reached servers, at most {most} may be spent"
            ));
        }
        if !quiet {
            return violations;
        }
        let shown = self.shown().await;
        let sum = shown.balance + shown.outstanding + shown.spent + shown.doubt;
        if shown.topped != sum {
            violations.push(format!("topped up is not balance + outstanding + spent + in doubt: {shown:?}"));
        }
        if shown.topped != self.total_topped_up() as i64 {
            violations.push(format!(
                "{} units were topped up, and the ledger has {}",
                self.total_topped_up(),
                shown.topped
            ));
        }
        let at_servers = at_servers as i64;
        if shown.spent > at_servers {
            violations.push(format!("{} units are debited, and servers received {at_servers}", shown.spent));
        }
        if shown.spent + shown.doubt + shown.outstanding < at_servers {
            violations.push(format!("servers received {at_servers} units, and the ledger has {shown:?}"));
        }
        violations
    }
}

//! The cost of a renewal to the leader, and of a check for expired sessions, by the number of nodes and accounts.
//!
//! Each node's requests are charged to [`ACTIVE`] accounts: one that all nodes share, and others that few nodes use. The remaining
//! accounts are idle.

use birchswitch_cluster::{Generation, MemberId};
use birchswitch_mesh::{ProcessId, Time};
use birchswitch_wallet::{
    AccountTerms, Allocator, AllocatorSettings, AllotmentReport, Demand, Entry, LedgerState, Prices,
    RenewalRequest, Report,
};
use criterion::{criterion_group, criterion_main, Criterion};
use std::time::Duration;

/// Number of accounts that a node's requests are charged to.
const ACTIVE: usize = 20;
const SETTINGS: AllocatorSettings = AllocatorSettings {
    ttl: Duration::from_secs(4),
    expiry: Duration::from_secs(8),
    keep_in_doubt: true,
    unique_top_ups: true,
};

fn process(node: usize) -> ProcessId {
    ProcessId { id: MemberId(node as u64), generation: Generation { started: 1, draw: 0 } }
}

fn name(account: usize) -> String {
    format!("tenant-{account}")
}

/// A fleet whose nodes renew in turn, with the allotments of each node.
struct Fleet {
    terms: Vec<AccountTerms>,
    state: LedgerState,
    allocator: Allocator,
    now: Time,
    sequence: u64,
    /// By node: account, number and units of each allotment.
    held: Vec<Vec<(usize, u64, u64)>>,
}

impl Fleet {
    fn new(nodes: usize, accounts: usize) -> Self {
        let prices = Prices { classes: vec![1], per_ms: 0 };
        let ahead = Duration::from_secs(2);
        let terms = |account| AccountTerms {
            account: name(account),
            prices: prices.clone(),
            overdraft: 0,
            low: 1,
            resume: 1,
            ahead,
        };
        let terms: Vec<AccountTerms> = (0..accounts).map(terms).collect();
        let mut state = LedgerState::default();
        for account in 0..accounts {
            state.apply(&Entry::TopUp { account: name(account), id: "first".into(), units: 1 << 40 });
        }
        let mut fleet = Fleet {
            allocator: Allocator::new(Time::from_secs(1), &terms, SETTINGS),
            terms,
            state,
            now: Time::from_secs(1),
            sequence: 0,
            held: vec![Vec::new(); nodes],
        };
        for _ in 0..2 {
            (0..nodes).for_each(|node| fleet.renew(node));
        }
        fleet
    }

    fn active(&self, node: usize) -> impl Iterator<Item = usize> {
        let accounts = self.terms.len();
        (0..ACTIVE.min(accounts)).map(move |n| if n == 0 { 0 } else { (node * ACTIVE + n) % accounts })
    }

    fn renew(&mut self, node: usize) {
        self.sequence += 1;
        self.now += Duration::from_micros(640);
        let held = &self.held[node];
        let report = |&(account, number, _): &(usize, u64, u64)| AllotmentReport {
            account: name(account),
            number,
            spent: 0,
            returned: 0,
            closed: false,
        };
        let demand = |account: usize| Demand {
            account: name(account),
            units_per_s: 3.0,
            largest_rejected: 0,
            holds: held.iter().filter(|h| h.0 == account).map(|h| (h.1, h.2)).collect(),
        };
        let request = RenewalRequest {
            sequence: self.sequence,
            highest_token: 1,
            report: Report { number: 0, allotments: held.iter().map(report).collect(), keys: Vec::new() },
            demands: self.active(node).map(demand).collect(),
        };
        let (now, time) = (self.now, self.sequence);
        let (_, grants) = self.allocator.renew(&mut self.state, (now, time), process(node), &request);
        let active: Vec<usize> = self.active(node).collect();
        for (account, grant) in active.into_iter().zip(grants) {
            self.held[node].extend(grant.allotment.map(|(number, units)| (account, number, units)));
        }
    }
}

fn renewals(c: &mut Criterion) {
    let sizes = [(50, 20), (100, 20), (200, 20), (390, 20), (390, 500), (390, 5_500)];
    for (nodes, accounts) in sizes {
        let mut fleet = Fleet::new(nodes, accounts);
        let mut node = 0;
        c.bench_function(&format!("renewal, {nodes} nodes, {accounts} accounts"), |b| {
            b.iter(|| {
                node = (node + 1) % nodes;
                fleet.renew(node);
            })
        });
        c.bench_function(&format!("expiry, {nodes} nodes, {accounts} accounts"), |b| {
            b.iter(|| fleet.allocator.expire(&mut fleet.state, fleet.now))
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(300));
    targets = renewals
}
criterion_main!(benches);

//! Recently started servers in a fleet of many nodes.

use super::super::attempts;
use super::super::helpers::*;
use super::{light, too_heavy, ColdBudget};
use crate::interface::*;
use crate::state::Balancer;
use std::collections::VecDeque;

/// The requests that many nodes send to a cold server stay well within its budget from the first second.
#[test]
fn cold_servers_stay_within_their_budget() {
    let (nodes, servers, rate) = (40u64, 20u32, 2.0);
    let rules = settings().rules;
    let started = at(1000);
    let mut all: Vec<Balancer> = (0..nodes)
        .map(|n| {
            Balancer::new(Settings { nodes: nodes as u32, ..settings() }, n, at(0)).expect("valid settings")
        })
        .collect();
    for b in &mut all {
        b.handle(at(0), list(servers), &mut vec![]);
        let entries = vec![entry(0, ServerState::Ready, Some(started))];
        b.handle(started, Event::List { kind: ListKind::Changes, entries }, &mut vec![]);
    }
    // Each node sends one request per 10 ms; a warm server receives the total divided by the number of
    // servers.
    let (mut id, mut cold) = (0, vec![]);
    for tick in 0..400u64 {
        let now = at(1000 + tick * 10);
        for b in &mut all {
            id += 1;
            if sent(b, now, id) == Some(ServerId(0)) {
                cold.push(tick * 10);
            }
        }
    }
    let peer = nodes as f64 * 100.0 / f64::from(servers) * rate / 2.0;
    for from in (0..3000u64).step_by(100) {
        let window = cold.iter().filter(|t| (from..from + 1000).contains(t)).count() as f64;
        let warmth = rules.cold_from + (1.0 - rules.cold_from) * from as f64 / 20_000.0;
        assert!(window < 0.75 * rules.fall_multiple * warmth * peer, "{window} at {from}");
    }
    assert!(!cold.is_empty(), "a cold server must get some requests");
}

/// The shares of tried or excluded servers pass to warm servers and do not raise a cold server's chance.
#[test]
fn cold_servers_do_not_take_shares_of_excluded_servers() {
    let mut b = balancer(4);
    let entries = vec![entry(0, ServerState::Ready, Some(at(900)))];
    b.handle(at(1000), Event::List { kind: ListKind::Changes, entries }, &mut vec![]);
    let mut counts = [0u32; 4];
    for k in 0..20_000 {
        let id = RequestId(k);
        let mut actions = vec![];
        b.handle(at(1000), arrival(k, 0), &mut actions);
        let Some(r) = b.requests.get_mut(&id) else { continue };
        for a in &mut r.attempts {
            (a.ended, a.server) = (true, ServerId(1 + (k % 2) as u32));
        }
        if let Some(i) = attempts::draw(&mut b, at(1000), id, false) {
            counts[b.servers[i].id.0 as usize] += 1;
        }
        b.requests.remove(&id);
    }
    let i = b.ready.iter().position(|&i| b.servers[i].id == ServerId(0)).expect("ready");
    let share = b.markets[0].shares[i] / 4.0;
    assert!(share > 0.005, "{share}");
    assert!((f64::from(counts[0]) / 20_000.0 - share).abs() < 0.005, "{counts:?} for {share}");
}

/// A request that would use up much of a cold server's budget goes to a warmer one; warm servers take any.
#[test]
fn heavy_requests_do_not_go_to_cold_servers() {
    let rules = settings().rules;
    let budget = rules.fall_multiple * rules.cold_from * rules.fall_time.as_secs_f64();
    assert!(too_heavy(&rules, rules.cold_from, 0.5 * budget));
    assert!(!too_heavy(&rules, rules.cold_from, 0.1 * budget));
    assert!(!too_heavy(&rules, 1.0, 100.0 * budget));
}

/// The work of all nodes together stays within the budget despite random variation: the fewer requests fill
/// it, the larger the margin. Light requests bring less work, so more of them are allowed; requests that
/// cannot be in time are not sent.
#[test]
fn cold_budget_includes_random_variation() {
    let rules = settings().rules;
    let (aim, works) = (0.4, |w: f64| VecDeque::from(vec![w; 16]));
    let work_fraction = |warmth: f64, work: f64, load: f64| {
        let most = ColdBudget::new(&rules, load, &works(work), aim).max_share(warmth);
        // Fraction of the budget used at this share and load.
        let light_count = if light(work, aim, warmth) { 1.0 } else { 0.1 };
        most * load * light_count / (rules.fall_multiple * warmth)
    };
    for warmth in [0.13, 0.3, 0.6, 0.99] {
        for work in [0.001, 0.01, 0.1, 0.3] {
            let part = work_fraction(warmth, work, 0.9);
            assert!(part > 0.0 && part < 0.51, "{part} of the budget at {warmth}, {work}");
        }
        assert!(
            work_fraction(warmth, 0.1, 0.9) < work_fraction(warmth, 0.01, 0.9) + 1e-9,
            "few requests need a larger margin"
        );
        assert!(work_fraction(warmth, 0.01, 0.1) <= 0.51, "unreported load must be allowed for");
    }
    assert!(
        ColdBudget::new(&rules, 0.9, &VecDeque::new(), aim).max_share(0.2) > 0.0,
        "must also work without hints"
    );
    assert!(ColdBudget::new(&rules, 0.9, &works(0.1), aim).max_share(1.0).is_infinite());
    assert!(light(0.3, aim, 1.0) && !light(0.3, aim, 0.5) && light(0.01, aim, 0.1));
}

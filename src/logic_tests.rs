//! Unit tests of the parts of the module: price step, share solution, draw, bounds.

#[path = "../tests/common/mod.rs"]
mod common;

use super::*;
use common::{arrival, at, ended, entry, list, ms, report, settings};

fn line(price: f64, speed: f64) -> Line {
    Line { price, speed, most: f64::INFINITY }
}

fn solved(lines: &[Line]) -> Vec<f64> {
    let mut shares = vec![];
    solve_shares(lines, 0.0, 0.5, &mut shares);
    shares
}

fn utility(lines: &[Line], shares: &[f64]) -> f64 {
    lines.iter().zip(shares).map(|(l, s)| (1.0 + s * l.speed).ln() - l.price * s).sum()
}

/// The share of a server in a class.
fn share(b: &Balancer, class: usize, server: u32) -> f64 {
    let k = b.ready.iter().position(|&i| b.servers[i].id == ServerId(server)).expect("ready");
    b.markets[class].shares[k]
}

fn balancer(servers: u32) -> Balancer {
    let mut b = Balancer::new(settings(), 7, at(0)).expect("sound settings");
    b.handle(at(0), list(servers), &mut vec![]);
    b
}

/// Sends one request and returns its server.
fn sent(b: &mut Balancer, now: Time, id: u64) -> Option<ServerId> {
    let mut actions = vec![];
    b.handle(now, arrival(id, 0), &mut actions);
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

#[test]
fn shares_are_feasible_and_optimal() {
    let mut rng = Balancer::new(settings(), 3, at(0)).expect("sound settings");
    for n in 1..30usize {
        let lines: Vec<Line> = (0..n).map(|_| line(rng.random() * 2.0, 0.1 + 2.0 * rng.random())).collect();
        let shares = solved(&lines);
        assert!((shares.iter().sum::<f64>() - n as f64).abs() < 1e-4 * n as f64);
        assert!(shares.iter().all(|s| *s >= 0.0));
        // Independent check: no small move of share from one server to another raises the sum of utility
        // less price.
        let best = utility(&lines, &shares);
        for from in 0..n {
            for to in 0..n {
                let mut other = shares.clone();
                let moved = (0.01f64).min(other[from]);
                other[from] -= moved;
                other[to] += moved;
                assert!(utility(&lines, &other) <= best + 1e-6, "{from} to {to} of {n}");
            }
        }
    }
}

/// A cold server gets little, is idle and grows cheap. The others must still get all that it can't take, however dear they
/// are beside it: on days of releases half of the requests were refused for want of shares.
#[test]
fn a_cheap_bounded_server_does_not_close_the_others() {
    let cold = Line { most: 0.1, ..line(0.0, 1.0) };
    let shares = solved(&[cold, line(1.5, 1.0), line(1.6, 1.0), line(1.7, 1.0)]);
    assert!((shares.iter().sum::<f64>() - 4.0).abs() < 1e-3, "{shares:?}");
    assert!(
        shares[0] <= 0.1 && shares[1] > shares[2] && shares[2] > shares[3] && shares[3] > 0.0,
        "{shares:?}"
    );
}

#[test]
fn shares_bear_extreme_prices_and_speeds() {
    assert!((solved(&[line(5.0, 1.0)])[0] - 1.0).abs() < 1e-5);
    let shares = solved(&[line(1e9, 1.0), line(0.0, 1e6), line(0.0, 0.01), line(3.0, 1.0)]);
    assert!((shares.iter().sum::<f64>() - 4.0).abs() < 1e-3, "{shares:?}");
    assert_eq!(shares[0], 0.0);
    // Bounds that leave no room: what is left over is not forced on anyone.
    let tight: Vec<Line> = (0..4).map(|_| Line { most: 0.5, ..line(0.1, 1.0) }).collect();
    assert_eq!(solved(&tight), vec![0.5; 4]);
    let closed = [Line { most: 0.0, ..line(0.0, 1.0) }];
    assert_eq!(solved(&closed), vec![0.0]);
}

#[test]
fn price_follows_the_projected_step() {
    let mut b = balancer(4);
    b.mean_load = 1.0;
    b.report(at(0), ServerId(1), &report(0.8, 10.0));
    b.report(at(0), ServerId(2), &report(0.1, 10.0));
    let i = b.index[&ServerId(1)];
    b.step(i, at(200));
    assert!((b.servers[i].price - STEP * 0.2 * (0.8 - LOAD_FACTOR)).abs() < 1e-9);
    let k = b.index[&ServerId(2)];
    b.step(k, at(200));
    assert_eq!(b.servers[k].price, 0.0, "projected at zero");
    // A report moves the price for its life only.
    b.going_price = b.servers[i].price;
    b.step(i, at(600));
    let price = b.servers[i].price;
    b.going_price = price;
    b.step(i, at(5000));
    assert!((b.servers[i].price - price).abs() < 1e-9);
}

#[test]
fn new_servers_start_at_the_mean_price() {
    let mut b = balancer(2);
    b.mean_price = 0.4;
    let entries = vec![entry(9, ServerState::Ready, None)];
    b.handle(at(1), Event::List { kind: ListKind::Changes, entries }, &mut vec![]);
    assert_eq!(b.servers[b.index[&ServerId(9)]].price, 0.4);
}

#[test]
fn draws_follow_shares() {
    let mut b = balancer(4);
    b.markets[0].shares = vec![0.4, 0.8, 1.2, 1.6];
    b.markets[0].open = 4.0;
    b.solved = Some(at(1));
    let mut counts = [0.0; 4];
    let asked = Vec::new();
    let (class, attempts) = (ClassId(0), Vec::new());
    let r = Request {
        class,
        arrived: at(1),
        ends: at(900),
        work: None,
        open: true,
        begun: false,
        attempts,
        asked,
    };
    b.requests.insert(RequestId(1), r);
    for _ in 0..40_000 {
        counts[b.draw(at(1), RequestId(1), false).expect("all are ready")] += 1.0;
    }
    for (i, count) in counts.iter().enumerate() {
        assert!((count / 40_000.0 - share(&b, 0, i as u32) / 4.0).abs() < 0.01, "{counts:?}");
    }
}

/// Many nodes together: a cold server's intake stays far inside its budget from its first second on.
#[test]
fn cold_servers_are_not_rushed() {
    let (nodes, servers, rate) = (40u64, 20u32, 2.0);
    let rules = settings().rules;
    let started = at(1000);
    let mut all: Vec<Balancer> = (0..nodes)
        .map(|n| {
            Balancer::new(Settings { nodes: nodes as u32, ..settings() }, n, at(0)).expect("sound settings")
        })
        .collect();
    for b in &mut all {
        b.handle(at(0), list(servers), &mut vec![]);
        let entries = vec![entry(0, ServerState::Ready, Some(started))];
        b.handle(started, Event::List { kind: ListKind::Changes, entries }, &mut vec![]);
    }
    // Each node sends once every 1/rate of 50 ms; warm peers take total / servers a second.
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
        assert!(window < 0.5 * rules.fall_multiple * warmth * peer, "{window} at {from}");
    }
    assert!(!cold.is_empty(), "it must get work to warm up");
}

/// Altiplano big-2: with dispersed prices up to ten of n shares gathered on one server and broke it.
#[test]
fn no_server_is_asked_for_more_than_its_part() {
    let mut b = balancer(4);
    for k in 0..200u64 {
        let now = at(k * 10);
        b.handle(now, arrival(k, 0), &mut vec![]);
        for s in 0..4 {
            b.report(now, ServerId(s), &report(0.9, 22.5));
        }
    }
    // Capacity 25 a second and server; this node's part of it is a quarter, it asks for 100.
    for s in 1..4 {
        b.failed(at(2000), ServerId(s), Outcome::Error);
    }
    b.solve(at(2000));
    let most = ADMIT * 25.0 * b.part * 4.0 / b.markets[0].arrivals.add(at(2000), 0.0);
    assert!(b.markets[0].shares.iter().all(|s| *s <= most * 1.01), "{:?} above {most}", b.markets[0].shares);
    assert!(b.markets[0].toll > 0.0, "what finds no place is turned away");
}

/// A server that fails fast reports little load; its failures must make it dear all the same.
#[test]
fn fast_failing_server_grows_dear() {
    let mut b = balancer(4);
    for s in 0..4 {
        b.report(at(0), ServerId(s), &report(0.5, 10.0));
    }
    b.solve(at(50));
    let i = b.index[&ServerId(2)];
    let before = share(&b, 0, 2);
    b.failed(at(60), ServerId(2), Outcome::Error);
    b.failed(at(60), ServerId(2), Outcome::Error);
    b.solve(at(120));
    assert!(b.servers[i].price > 0.9);
    assert!(share(&b, 0, 2) < 0.2 * before, "{:?}", b.markets[0].shares);
}

/// A hung server reports nothing: its oldest unanswered send makes it dear.
#[test]
fn hung_server_grows_dear_and_comes_back() {
    let mut b = balancer(4);
    let hung = sent(&mut b, at(0), 1).expect("sent");
    let i = b.index[&hung];
    b.step(i, at(3000));
    let dear = b.servers[i].price;
    assert!(dear > 0.5, "{dear}");
    // Once it is answered the price drifts back: no lasting avoidance.
    b.handle(at(3000), ended(1, 0, hung, Outcome::Served, None), &mut vec![]);
    for k in 0..400 {
        b.step(i, at(3000 + 50 * k));
    }
    assert!(b.servers[i].price < 0.1);
}

#[test]
fn tolls_turn_away_the_least_worth_first() {
    let mut b = balancer(2);
    b.markets[0].worths.extend([1.0, 1.0, 10.0, 10.0]);
    b.clear(0, 0.3);
    let turned = |w: f64| (b.markets[0].toll / w).min(1.0);
    assert!(turned(1.0) > 3.0 * turned(10.0));
    assert!(((turned(1.0) + turned(10.0)) / 2.0 - 0.3).abs() < 0.02);
    b.clear(0, 0.0);
    assert_eq!(b.markets[0].toll, 0.0);
}

#[test]
fn probed_choice_takes_the_idlest_and_refuses_the_hopeless() {
    let probing = Settings { reports: Reports::ByProbe, reports_rate: false, may_probe: true, ..settings() };
    let probed = |held: &dyn Fn(usize) -> f64| {
        let mut b = Balancer::new(probing.clone(), 5, at(0)).expect("sound settings");
        let mut actions = vec![];
        b.handle(at(0), list(8), &mut actions);
        let work = Some(ms(100));
        let (request, class, tenant) = (RequestId(1), ClassId(1), TenantId(0));
        b.handle(
            at(1),
            Event::Arrival(Arrival { request, class, tenant, remaining: ms(900), work }),
            &mut actions,
        );
        let asked: Vec<ServerId> = actions
            .iter()
            .filter_map(|a| if let Action::Probe { server } = a { Some(*server) } else { None })
            .collect();
        assert_eq!(asked.len(), PROBES);
        actions.clear();
        for (k, server) in asked.iter().enumerate() {
            let report = Some(LoadReport { held: Some(held(k)), ..report(0.5, 0.0) });
            let p = Probed { server: *server, outcome: Outcome::Served, latency: ms(1), report };
            b.handle(at(2), Event::Probed(p), &mut actions);
        }
        (asked, actions)
    };
    let (asked, actions) = probed(&|k| if k == 3 { 0.0 } else { 2.0 });
    assert!(matches!(actions[..], [Action::Send { server, .. }] if server == asked[3]), "{actions:?}");
    let (_, actions) = probed(&|_| 9.0);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
}

/// An estimated wait is an average, and what is late by a little is worth nothing and still takes its room. A request's own
/// work is no such guess: at an idle server a heavy one can be in time.
#[test]
fn long_waits_are_taken_for_longer() {
    let probing = Settings { reports: Reports::ByProbe, reports_rate: false, may_probe: true, ..settings() };
    let aim = probing.classes[1].aim;
    let decided = |work: Duration, held: f64| {
        let mut b = Balancer::new(probing.clone(), 5, at(0)).expect("sound settings");
        let mut actions = vec![];
        b.handle(at(0), list(3), &mut actions);
        let (request, class, tenant) = (RequestId(1), ClassId(1), TenantId(0));
        let arrival = Arrival { request, class, tenant, remaining: 2 * aim, work: Some(work) };
        b.handle(at(1), Event::Arrival(arrival), &mut actions);
        actions.clear();
        for server in 0..3 {
            let report = Some(LoadReport { held: Some(held), ..report(0.5, 0.0) });
            let p = Probed { server: ServerId(server), outcome: Outcome::Served, latency: ms(1), report };
            b.handle(at(2), Event::Probed(p), &mut actions);
        }
        actions
    };
    let sent = |work, held| matches!(decided(work, held)[..], [Action::Send { .. }]);
    assert!(sent(aim.mul_f64(0.95), 0.0));
    assert!(sent(aim / 10, 7.0));
    assert!(!sent(aim / 10, 8.5));
}

/// A probe costs the server and the node, and is no use where its answer is known. What the node itself has sent since is
/// not in that answer and must be counted in, or all requests of a moment go to one server.
#[test]
fn what_was_just_heard_is_not_asked_again() {
    let probing = Settings { reports: Reports::ByProbe, reports_rate: false, may_probe: true, ..settings() };
    let mut b = Balancer::new(probing, 5, at(0)).expect("sound settings");
    let mut actions = vec![];
    b.handle(at(0), list(3), &mut actions);
    let arrive = |b: &mut Balancer, now, id| {
        let (request, class, tenant) = (RequestId(id), ClassId(1), TenantId(0));
        let arrival = Arrival { request, class, tenant, remaining: ms(900), work: Some(ms(100)) };
        let mut actions = vec![];
        b.handle(now, Event::Arrival(arrival), &mut actions);
        actions
    };
    let probes = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count();
    assert_eq!(probes(&arrive(&mut b, at(1), 1)), 3);
    assert_eq!(probes(&arrive(&mut b, at(1), 2)), 0, "asked already");
    actions.clear();
    for server in 0..3 {
        let report = Some(LoadReport { held: Some(0.0), ..report(0.1, 0.0) });
        let p = Probed { server: ServerId(server), outcome: Outcome::Served, latency: ms(1), report };
        b.handle(at(2), Event::Probed(p), &mut actions);
    }
    actions.extend(arrive(&mut b, at(3), 3));
    let sent = |a: &Action| if let Action::Send { server, .. } = a { Some(*server) } else { None };
    let mut sent: Vec<_> = actions.iter().filter_map(sent).collect();
    sent.sort();
    assert_eq!(sent, [ServerId(0), ServerId(1), ServerId(2)], "{actions:?}");
    assert_eq!(probes(&arrive(&mut b, at(3000), 4)), 3, "heard too long ago");
}

#[test]
fn settings_that_make_no_sense_are_named() {
    let bad = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Balancer::new(s, 0, at(0)).err().map(|e| e.to_string()).unwrap_or_default()
    };
    assert!(bad(|s| s.classes.clear()).contains("classes"));
    assert!(bad(|s| s.zone = ZoneId(9)).contains("zone"));
    assert!(bad(|s| s.rules.cold_from = -0.1).contains("rules.cold_from"));
    assert!(bad(|s| s.rules.fall_multiple = f64::NAN).contains("rules.fall_multiple"));
    assert!(bad(|s| s.classes[0].worth = f64::INFINITY).contains("classes.worth"));
    assert!(bad(|s| s.nodes = 0).contains("nodes"));
    assert_eq!(bad(|_| ()), "");
}

#[test]
fn empty_list_refuses_and_recovers() {
    let mut b = balancer(0);
    let mut actions = vec![];
    b.handle(at(1), arrival(1, 1), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]));
    b.handle(at(2), list(3), &mut actions);
    assert!(sent(&mut b, at(100), 2).is_some());
}

/// Placement: shares are solved over the open servers only, and nothing else is drawn, also when all of those are
/// down or were tried.
#[test]
fn bound_classes_keep_to_their_servers() {
    let mut b = Balancer::new(common::bound(), 7, at(0)).expect("sound settings");
    b.handle(at(0), list(9), &mut vec![]);
    b.solve(at(0));
    let m = &b.markets[1];
    assert_eq!(m.open, 6.0);
    assert!((m.shares.iter().sum::<f64>() - 6.0).abs() < 1e-3, "{:?}", m.shares);
    let open = (0..9).filter(|&s| share(&b, 1, s) > 0.0);
    assert_eq!(open.filter(|s| s % 3 != 1).count(), 6, "{:?}", m.shares);
    // Class 2 has server 4 only: once that has turned it away nothing is left, and it is refused.
    let mut actions = vec![];
    b.handle(at(1), arrival(1, 2), &mut actions);
    assert!(matches!(actions[..], [Action::Send { server: ServerId(4), .. }]), "{actions:?}");
    actions.clear();
    b.handle(at(2), ended(1, 0, ServerId(4), Outcome::TurnedAway, None), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
    // Class 3 is open nowhere.
    actions.clear();
    b.handle(at(3), arrival(2, 3), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
    // The last gate holds whatever chose the server.
    actions.clear();
    b.handle(at(4), arrival(3, 1), &mut vec![]);
    let request = b.requests.get_mut(&RequestId(3)).expect("held");
    request.attempts.clear();
    let wrong = b.index[&ServerId(1)];
    b.send(at(4), RequestId(3), Some(wrong), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
}

/// What tried or closed servers leave goes to warm ones: a cold server's chance does not grow.
#[test]
fn cold_servers_do_not_take_what_others_leave() {
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
        if let Some(i) = b.draw(at(1000), id, false) {
            counts[b.servers[i].id.0 as usize] += 1;
        }
        b.requests.remove(&id);
    }
    let i = b.ready.iter().position(|&i| b.servers[i].id == ServerId(0)).expect("ready");
    let share = b.markets[0].shares[i] / 4.0;
    assert!(share > 0.005, "{share}");
    assert!((f64::from(counts[0]) / 20_000.0 - share).abs() < 0.005, "{counts:?} for {share}");
}

/// Reports of load and requests held, but of no rate: the node cannot measure capacity.
fn blind() -> Balancer {
    let settings = Settings { reports_rate: false, ..settings() };
    let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
    b.handle(at(0), list(40), &mut vec![]);
    b
}

/// Etichete big-1: every node opened connections to every server, whose tables filled up, and heard of each too
/// rarely to price it. A node deals with few servers, by an order of its own, and with more as it sends more.
#[test]
fn nodes_deal_with_as_many_servers_as_they_hear_of() {
    let mut b = blind();
    let dealt = |b: &mut Balancer, from: u64, gap: u64| {
        for k in 0..200 {
            b.handle(at(from + k * gap), arrival(from + k, 0), &mut vec![]);
        }
        b.markets[0].open
    };
    let slow = dealt(&mut b, 1, 500);
    assert_eq!(slow, LEAST_OPEN);
    // Ten times as many requests: it hears of more servers in time.
    let fast = dealt(&mut b, 200_000, 50);
    assert!(fast > 2.0 * slow, "{fast}");
    let mut other = Balancer::new(b.settings.clone(), 8, at(0)).expect("sound settings");
    other.handle(at(0), list(40), &mut vec![]);
    let first = |b: &Balancer| b.ready[..5].iter().map(|&i| b.servers[i].id).collect::<Vec<_>>();
    assert_ne!(first(&b), first(&other));
}

/// Etichete quiet: proofs preferred the fast servers, the only ones for bookings, and crowded them.
#[test]
fn bound_classes_leave_less_speed_to_the_others() {
    let mut settings = Settings { weights_given: true, ..settings() };
    settings.classes.truncate(2);
    settings.classes[1].kinds = Some(vec![KindId(0)]);
    let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
    b.handle(at(0), list(3), &mut vec![]);
    for m in &mut b.markets {
        m.work = 0.01;
    }
    for k in 0..100 {
        b.handle(at(1 + 10 * k), arrival(k, (k % 2) as u8), &mut vec![]);
    }
    assert!(share(&b, 0, 0) < 0.1, "bookings fill it: {:?}", b.markets[0].shares);
    assert!((share(&b, 1, 0) - 1.0).abs() < 1e-3);
    assert!((share(&b, 0, 1) - share(&b, 0, 2)).abs() < 0.1);
}

/// Incident ie8f519: servers slowed by their own load answered nothing in time and so reported nothing. What the
/// node's own attempts meet sheds arrivals, stays shed without news, and lets them in again.
#[test]
fn attempts_that_meet_load_shed_arrivals() {
    let mut b = blind();
    let shed = |b: &mut Balancer, from: u64, outcome: Outcome| {
        for k in 0..100 {
            let id = from + k;
            let now = at(from + 20 * k);
            if let Some(server) = sent(b, now, id) {
                let end = Ended { latency: ms(900), ..plain_end(id, server, outcome) };
                let quick = Ended { latency: ms(100), ..end };
                let end = if outcome == Outcome::Served { quick } else { end };
                b.handle(now, Event::Ended(end), &mut vec![]);
            }
        }
        b.markets[0].refused
    };
    assert_eq!(shed(&mut b, 0, Outcome::Served), 0.0);
    let most = shed(&mut b, 10_000, Outcome::TimedOut);
    assert!(most > 0.6, "{most}");
    b.solved = None;
    b.solve(at(13_000));
    assert!(b.markets[0].refused > 0.8 * most, "no news leaves it");
    let mut after = most;
    for round in 0..5 {
        after = shed(&mut b, 20_000 + 3000 * round, Outcome::Served);
    }
    assert!(after < 0.1, "{after}");
}

fn plain_end(id: u64, server: ServerId, outcome: Outcome) -> Ended {
    let report = (outcome == Outcome::Served).then(|| report(0.3, 0.0));
    let Event::Ended(end) = ended(id, 0, server, outcome, report) else { unreachable!("an end") };
    end
}

/// Etichete big-1-small: reports lag by most of a second, and a node with much of the traffic chose the busier
/// servers. What it has out itself beyond the usual makes a server dearer at once.
#[test]
fn own_attempts_out_count_before_reports_do() {
    let mut b = blind();
    for k in 0..60 {
        let server = sent(&mut b, at(k * 20), k).expect("sent");
        b.handle(at(k * 20 + 10), ended(k, 0, server, Outcome::Served, None), &mut vec![]);
    }
    let held = b.servers[b.ready[0]].id;
    let i = b.index[&held];
    b.solved = None;
    b.solve(at(1200));
    let before = share(&b, 0, held.0);
    b.servers[i].out = vec![at(1200); 3];
    b.solved = None;
    b.solve(at(1200));
    assert!(share(&b, 0, held.0) < 0.7 * before, "{} from {before}", share(&b, 0, held.0));
}

/// Incident ia21743: new connections failed, open ones served on, and servers that nobody reached looked idle to
/// probes. A server without an open connection is dearer, and later, by how often new ones fail.
#[test]
fn open_connections_count_where_new_ones_fail() {
    let mut b = blind();
    b.solve(at(0));
    let (near, far) = (b.servers[b.ready[0]].id, b.servers[b.ready[1]].id);
    let k = b.index[&near];
    b.servers[k].connected = Some(at(0));
    b.solved = None;
    b.solve(at(50));
    assert!((share(&b, 0, near.0) - share(&b, 0, far.0)).abs() < 1e-3, "as long as new ones succeed");
    for id in 0..40 {
        if let Some(server) = sent(&mut b, at(60), id).filter(|s| *s != near) {
            b.handle(at(61), ended(id, 0, server, Outcome::Unreachable, None), &mut vec![]);
        }
    }
    assert!(b.refused > 0.9);
    for s in &mut b.servers {
        (s.price, s.out) = (0.0, vec![]);
    }
    b.solved = None;
    b.solve(at(200));
    assert!(share(&b, 0, near.0) > 3.0 * share(&b, 0, far.0), "{:?}", b.markets[0].shares);
    // Once the connection has surely closed it is as far as the others.
    b.solve(at(70_000));
    let (near, far) = (share(&b, 0, near.0), share(&b, 0, far.0));
    assert!(b.refused < 0.1 && near < 2.0 * far, "{} {near} {far} {:?}", b.refused, b.markets[0].shares);
}

/// The design on the ordinary path, for a small and a large fleet: prices move by the projected step on the reported
/// load, draws follow the solved shares, and the work for a request is bounded: shares are solved once a tick.
#[test]
fn the_ordinary_path_follows_prices_and_shares() {
    for servers in [6u32, 300] {
        let settings = Settings { nodes: 1, weights_given: true, ..settings() };
        let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
        b.handle(at(0), list(servers), &mut vec![]);
        let (mut drawn, mut meant) = (vec![0.0; servers as usize], vec![0.0; servers as usize]);
        let (mut solved, mut last) = (0, None);
        for k in 0..40_000u64 {
            let now = at(k / 4);
            for s in 0..servers {
                if k % 400 == 0 {
                    b.report(now, ServerId(s), &report(0.4 + 0.4 * f64::from(s % 2), 1000.0));
                }
            }
            let server = sent(&mut b, now, k).expect("nothing is refused");
            solved += u32::from(std::mem::replace(&mut last, b.solved) != b.solved);
            drawn[server.0 as usize] += 1.0;
            for (&i, share) in b.ready.iter().zip(&b.markets[0].shares) {
                meant[b.servers[i].id.0 as usize] += share / f64::from(servers);
            }
            b.handle(now, ended(k, 0, server, Outcome::Served, None), &mut vec![]);
        }
        // Ten seconds of ticks, however many requests and servers.
        assert!(solved <= 201, "{solved} solutions for {servers} servers");
        for s in 0..servers as usize {
            let noise = 5.0 * meant[s].sqrt() + 5.0;
            assert!((drawn[s] - meant[s]).abs() < noise, "server {s}: {} for {}", drawn[s], meant[s]);
        }
        let price = |s: u32| b.servers[b.index[&ServerId(s)]].price;
        assert!(price(1) > 0.05 && price(0) == 0.0, "{} {}", price(1), price(0));
    }
}

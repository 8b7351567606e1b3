//! Feeds hand-written events to a balancer and prints its choices: a slow server, a failing server, an
//! overload.

use finchvale::*;
use std::time::Duration;

fn settings() -> Settings {
    let second = Duration::from_secs(1);
    let class = |effect, worth| Class {
        effect,
        aim: second,
        aim_stretch: 0.0,
        deadline: 2 * second,
        worth,
        late_worth: 0.0,
        streamed: false,
        zones: None,
        kinds: None,
    };
    Settings {
        nodes: 1,
        node_index: None,
        prices: Prices::default(),
        zone: ZoneId(0),
        zones: 1,
        classes: vec![class(Effect::Safe, 1.0), class(Effect::Unsafe, 5.0)],
        tenants: vec![],
        over_share_worth: 1.0,
        worth_by_work: false,
        use_listed_weights: false,
        reports: Reports::WithAnswers,
        reports_rate: true,
        subscribe_to_lists: false,
        max_attempts: 3,
        may_cancel: true,
        may_probe: false,
        second_copies: false,
        conn_idle: 60 * second,
        connect_timeout: second / 4,
        max_retry_after: Some(second),
        rules: Rules {
            drain_grace: second,
            cold_from: 0.2,
            warm_up: 20 * second,
            fall_multiple: 3.0,
            fall_time: second,
            list_poll_interval: 10 * second,
        },
    }
}

/// Sends `rate` requests per second for two seconds; server 2 has half the capacity, server 3 fails if
/// `failing`.
fn play(balancer: &mut Balancer, from_ms: u64, rate: u64, failing: bool) -> Result<(), SettingsError> {
    let mut chosen = [0u32; 4];
    let (mut refused, mut failed) = (0, 0);
    for k in 0..2 * rate {
        let now = Time((from_ms + k * 1000 / rate) * 1_000_000);
        let request = RequestId(from_ms * 1000 + k);
        let remaining = Duration::from_secs(2);
        let mut actions = vec![];
        let arrival = Arrival {
            request,
            class: ClassId((k % 2) as u8),
            tenant: TenantId(0),
            remaining,
            work: None,
            body_complete: true,
        };
        balancer.handle(now, Event::Arrival(arrival), &mut actions);
        let (mut n, mut attempt) = (0, 0);
        while n < actions.len() {
            match actions[n] {
                Action::Send { server, .. } => {
                    chosen[server.0 as usize] += 1;
                    let bad = failing && server.0 == 3;
                    let outcome = if bad { Outcome::Unreachable } else { Outcome::Served };
                    let capacity = if server.0 == 2 { 25.0 } else { 50.0 };
                    let busy = (rate as f64 / 4.0 / capacity).min(1.0);
                    let report =
                        LoadReport { busy: Some(busy), rate: Some(capacity * busy), ..LoadReport::default() };
                    let latency = Duration::from_millis(100);
                    let report = (!bad).then_some(report);
                    let end =
                        AttemptEnded { request, attempt, server, outcome, latency, closed: !bad, report };
                    attempt += 1;
                    balancer.handle(now, Event::AttemptEnded(end), &mut actions);
                }
                Action::Refuse { .. } => refused += 1,
                Action::Fail { .. } => failed += 1,
                _ => {}
            }
            n += 1;
        }
    }
    println!("  chosen {chosen:?}, refused {refused}, failed {failed}");
    Ok(())
}

fn main() -> Result<(), SettingsError> {
    let mut balancer = Balancer::new(settings(), 1, Time(0))?;
    let entries = (0..4)
        .map(|s| ServerEntry {
            server: ServerId(s),
            name: u64::from(s),
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            state: ServerState::Ready,
            weight: 1.0,
            started: None,
        })
        .collect();
    balancer.handle(Time(0), Event::List { kind: ListKind::Full, entries }, &mut vec![]);
    println!("Four servers; server 2 has half the capacity and gets proportionally less.");
    play(&mut balancer, 1_000, 80, false)?;
    play(&mut balancer, 3_000, 80, false)?;
    println!("Server 3 refuses connections: each failure raises its price and the others take over.");
    play(&mut balancer, 5_000, 80, true)?;
    println!("Server 3 has recovered: its price drifts back.");
    play(&mut balancer, 7_000, 80, false)?;
    play(&mut balancer, 20_000, 80, false)?;
    println!("Three times the traffic: the excess is refused, starting with the class of lower worth.");
    play(&mut balancer, 30_000, 240, false)?;
    Ok(())
}

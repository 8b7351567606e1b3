//! Cost of one request's decisions in a node: arrival, five probes, the choice, the end; with 70, 312 and 1,600
//! servers.
//!
//! The time step is either long enough that prices and shares are recomputed for each request, as on a node with little
//! traffic, or short, as on a busy one.

use birchswitch_lab::scenario::{Scenario, Size};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use finchvale::{
    Action, Arrival, AttemptEnded, Balancer, CellId, ClassId, Event, KindId, ListKind, LoadReport, Outcome,
    ProbeEnded, RequestId, ServerEntry, ServerId, ServerState, TenantId, Time, ZoneId,
};
use std::time::Duration;

struct Node {
    balancer: Balancer,
    now: Time,
    next: u64,
    actions: Vec<Action>,
}

impl Node {
    fn new(servers: u32) -> Self {
        let settings = Scenario::default().settings(Size { nodes: servers * 4, servers }, 0);
        let now = Time(1_000_000_000_000);
        let mut balancer = Balancer::new(settings, 7, now).expect("valid settings");
        let entry = |s: u32| ServerEntry {
            server: ServerId(s),
            name: u64::from(s),
            zone: ZoneId((s % 5) as u8),
            kind: KindId(0),
            cell: CellId((s / 6) as u16),
            state: ServerState::Ready,
            weight: 1.0,
            started: None,
        };
        let entries = (0..servers).map(entry).collect();
        balancer.handle(now, Event::List { kind: ListKind::Full, entries }, &mut Vec::new());
        Node { balancer, now, next: 0, actions: Vec::new() }
    }

    /// Handles a request from its arrival to its answer.
    fn serve(&mut self, step: Duration) {
        self.now = self.now + step;
        let request = RequestId(self.next);
        self.next += 1;
        let (class, tenant) = (ClassId(0), TenantId(0));
        let (remaining, work) = (Duration::from_millis(870), Some(Duration::from_millis(100)));
        let mut events =
            vec![Event::Arrival(Arrival { request, class, tenant, remaining, work, body_complete: true })];
        while let Some(event) = events.pop() {
            self.balancer.handle(self.now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                match action {
                    Action::Probe { server } => {
                        let held = f64::from(server.0 % 3);
                        let report =
                            LoadReport { held: Some(held), busy: Some(0.6), ..LoadReport::default() };
                        let (outcome, latency) = (Outcome::Served, Duration::from_millis(1));
                        events.push(Event::ProbeEnded(ProbeEnded {
                            server,
                            outcome,
                            latency,
                            report: Some(report),
                        }));
                    }
                    Action::Send { request, server, .. } => events.push(Event::AttemptEnded(AttemptEnded {
                        request,
                        attempt: 0,
                        server,
                        outcome: Outcome::Served,
                        latency: Duration::from_millis(120),
                        closed: true,
                        report: None,
                    })),
                    _ => {}
                }
            }
        }
    }
}

fn decide(c: &mut Criterion) {
    for (traffic, step) in [("little", Duration::from_millis(400)), ("much", Duration::from_millis(2))] {
        let mut group = c.benchmark_group(format!("a request's decisions, {traffic} traffic"));
        for servers in [70, 312, 1600] {
            let mut node = Node::new(servers);
            group.bench_function(BenchmarkId::from_parameter(servers), |b| b.iter(|| node.serve(step)));
        }
        group.finish();
    }
}

criterion_group!(benches, decide);
criterion_main!(benches);

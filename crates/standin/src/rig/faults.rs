//! Injects a script's faults into processes and into the network between them.

use super::environment::external_place;
use super::history::{now, RigAction};
use super::proxies::Pairs;
use super::{Rig, RigError};
use crate::script::{Endpoint, Injection, Nodes, ProcessFault, WireFault};
use rustix::process::{kill_process, Pid, Signal};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

impl Rig {
    fn select_nodes(&mut self, who: Nodes) -> Vec<usize> {
        let nodes = self.plan.nodes;
        match who {
            Nodes::Range(first, last) => (first..=last.min(nodes - 1)).collect(),
            Nodes::All => (0..nodes).collect(),
            Nodes::Zone(zone) => (0..nodes).filter(|n| n * self.plan.zones.max(1) / nodes == zone).collect(),
            Nodes::Part(part) => {
                let mut all: Vec<usize> = (0..nodes).collect();
                let take = (nodes as f64 * f64::from(part) / 1e3).round() as usize;
                for n in 0..take {
                    let other = n + self.rng.below(nodes - n);
                    all.swap(n, other);
                }
                all.truncate(take);
                all
            }
        }
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.apply_wire_fault(WireFault::Heal);
    }

    /// Place numbers of an endpoint; external endpoints have pseudo places above those of all nodes.
    fn endpoint_places(&mut self, end: Endpoint) -> Vec<usize> {
        match end {
            Endpoint::Nodes(nodes) => self.select_nodes(nodes),
            Endpoint::External(far) => vec![external_place(far)],
        }
    }

    pub(super) async fn inject(&mut self, injection: &Injection) -> Result<(), RigError> {
        match *injection {
            Injection::Wire(fault) => self.apply_wire_fault(fault),
            Injection::Nodes(who, fault) => {
                let chosen = self.select_nodes(who);
                // Signal all of them first, so that they die at the same time, and wait for their exits afterwards.
                if fault == ProcessFault::Die {
                    chosen.iter().for_each(|n| self.signal(*n, Signal::KILL));
                }
                for n in chosen {
                    self.inject_process_fault(n, fault).await?;
                }
            }
            // The rig has no modelled servers.
            Injection::Servers(..) => {}
            Injection::Node(n, _) => {
                self.end_process(n, false).await?;
                self.spawn(n, n).await?;
            }
            Injection::RegistrySilent(span) => self.environment.iter().for_each(|e| e.registry.silence(span)),
        }
        Ok(())
    }

    async fn inject_process_fault(&mut self, n: usize, fault: ProcessFault) -> Result<(), RigError> {
        match fault {
            ProcessFault::Die => self.end_process(n, true).await?,
            ProcessFault::End => self.end_process(n, false).await?,
            // The process is already running.
            ProcessFault::Start if self.processes[n].is_some() => {}
            ProcessFault::Start => self.spawn(n, n).await?,
            ProcessFault::Twin => {
                let spare = (self.plan.nodes..self.processes.len()).find(|s| self.processes[*s].is_none());
                if let Some(spare) = spare {
                    self.spawn(spare, n).await?;
                }
            }
            ProcessFault::Pause(length) => {
                self.pause_process(n, vec![(Duration::ZERO, length)]);
            }
            ProcessFault::Stutter(stopped, length) => {
                let first = self.rng.unit();
                let stops =
                    (0..length.as_secs()).map(|s| (Duration::from_secs_f64(first + s as f64), stopped));
                self.pause_process(n, stops.collect());
            }
        }
        Ok(())
    }

    /// Stops a process at the given offsets from now, each time for the given length.
    fn pause_process(&mut self, place: usize, stops: Vec<(Duration, Duration)>) {
        let Some(pid) = self.pid(place).and_then(|p| Pid::from_raw(p as i32)) else { return };
        let (recorder, began) = (self.recorder.clone(), Instant::now());
        let record = move |action| recorder.history.borrow_mut().actions.push((now(), action));
        self.pending.spawn_local(async move {
            for (from, length) in stops {
                sleep_until(began + from).await;
                // The recorded span lies within the real one, because recorded stops excuse verdicts.
                let _ = kill_process(pid, Signal::STOP);
                record(RigAction::Stopped(place));
                sleep(length).await;
                record(RigAction::Resumed(place));
                let _ = kill_process(pid, Signal::CONT);
            }
        });
    }

    fn apply_wire_fault(&mut self, fault: WireFault) {
        let mut pairs = |one: Endpoint, other: Endpoint, both: bool| {
            let (one, other) = (self.endpoint_places(one), self.endpoint_places(other));
            let all = one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b);
            all.flat_map(|(a, b)| [Some((a, b)), both.then_some((b, a))]).flatten().collect::<Pairs>()
        };
        let cut = match fault {
            WireFault::Cut(from, to) => pairs(from, to, false),
            WireFault::Split(one, other) => pairs(one, other, true),
            _ => Pairs::new(),
        };
        self.wire.change(|f| match fault {
            WireFault::Cut(..) | WireFault::Split(..) => f.cut.extend(cut),
            WireFault::Heal => f.cut.clear(),
            WireFault::Lose(part) => f.lose = part,
            WireFault::Double(part) => f.double = part,
            WireFault::Spoil(part) => f.spoil = part,
            WireFault::Shorten(part) => f.shorten = part,
            WireFault::Delay(most) => f.delay = most,
        });
        self.proxies.cut(self.wire.cut());
        if let WireFault::Lose(part) = fault {
            self.proxies.lose(part);
        }
        self.record_action(RigAction::Cut(self.wire.cut()));
    }
}

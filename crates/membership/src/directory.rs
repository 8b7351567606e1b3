//! Names, addresses and states of servers, list after list.

use crate::list::{Phase, ServerList};
use birchswitch_site::Names;
use finchvale::{CellId, KindId, ServerEntry, ServerId, ServerState, Time, ZoneId};
use rustc_hash::{FxBuildHasher, FxHashMap, FxHashSet};
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::rc::Rc;

/// What a list comes to.
#[derive(Debug, Default)]
pub struct Update {
    /// Its lines in the decisions' terms.
    pub entries: Vec<ServerEntry>,
    /// What became of each server that it says something of, or drops.
    pub targets: Vec<Target>,
}

/// A server, for those who connect to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its id at this node.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it takes.
    pub state: ServerState,
    /// Connections made so far are of no more use: it restarted, moved, drains or is gone.
    pub invalidate_connections: bool,
}

/// See the module's own words.
pub struct Directory {
    names: Rc<Names>,
    known: FxHashMap<String, Known>,
    /// Taken out by hand, listed or not.
    out: FxHashSet<String>,
    next: u32,
}

#[derive(Clone, Copy)]
struct Known {
    /// What the list says; the target's state is that of a drain where the server was taken out by hand.
    listed: ServerState,
    target: Target,
    started: Option<Time>,
    /// Of its name, without a seed: nodes have to agree on it.
    hash: u64,
    place: (ZoneId, KindId, CellId),
    weight: f64,
}

impl Known {
    fn entry(&self) -> ServerEntry {
        let (zone, kind, cell) = self.place;
        let (server, state, started) = (self.target.server, self.target.state, self.started);
        ServerEntry { server, name: self.hash, zone, kind, cell, state, weight: self.weight, started }
    }
}

impl Directory {
    /// Knows no server yet. The names tell zones and kinds.
    pub fn new(names: Rc<Names>) -> Self {
        Directory { names, known: FxHashMap::default(), out: FxHashSet::default(), next: 0 }
    }

    /// Whether a server of this name is listed, or out.
    pub fn knows(&self, name: &str) -> bool {
        self.known.contains_key(name) || self.out.contains(name)
    }

    /// Takes a server out by hand, or lets it in again: until then it drains, whatever lists say of it, also one that is
    /// listed only later. Saying the same twice changes nothing.
    pub fn set_out(&mut self, name: &str, out: bool) -> Update {
        let changed = match out {
            true => self.out.insert(name.to_owned()),
            false => self.out.remove(name),
        };
        let mut update = Update::default();
        if let Some(known) = self.known.get_mut(name).filter(|_| changed) {
            let state = effective(known.listed, out);
            known.target =
                Target { state, invalidate_connections: state == ServerState::Draining, ..known.target };
            update.targets.push(known.target);
            update.entries.push(known.entry());
        }
        update
    }

    /// Servers listed, and how many of them were taken out by hand.
    pub fn count(&self) -> (usize, usize) {
        (self.known.len(), self.out.iter().filter(|name| self.known.contains_key(*name)).count())
    }

    /// Takes in a list: a complete one drops what it doesn't name.
    pub fn take(&mut self, list: &ServerList) -> Update {
        let mut update = Update::default();
        if list.complete {
            let named: FxHashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
            self.known.retain(|name, known| {
                let stays = named.contains(name.as_str());
                if !stays {
                    update.targets.push(gone(known.target));
                }
                stays
            });
        }
        for member in &list.members {
            let listed = match member.phase {
                Phase::Active => ServerState::Ready,
                Phase::Leaving => ServerState::Draining,
                Phase::Left => ServerState::Gone,
            };
            let state = effective(listed, self.out.contains(&member.id));
            // Mapping a start by the clocks' present difference would make every list look like a restart;
            // the decisions' clock counts in Unix time, so that no mapping is needed.
            let started =
                (member.up_since_ms > 0).then(|| Time(member.up_since_ms.saturating_mul(1_000_000)));
            let place = (
                ZoneId(position(&self.names.zones, &member.locality)),
                KindId(position(&self.names.kinds, &member.flavor)),
                CellId(member.cell),
            );
            let known = match (self.known.get(&member.id).copied(), member.host_port) {
                // It is told as it was known: word of its end need not repeat all that.
                (Some(known), _) if state == ServerState::Gone => {
                    self.known.remove(&member.id);
                    Known { target: gone(known.target), ..known }
                }
                (Some(known), address) => {
                    let address = address.unwrap_or(known.target.address);
                    // What was connected to the process before this one is dead, whether or not it says so. And what
                    // nothing new may go over is only in the way of others.
                    let invalidate_connections = known.started != started
                        || known.target.address != address
                        || state == ServerState::Draining;
                    let target = Target { address, state, invalidate_connections, ..known.target };
                    Known { listed, target, started, place, weight: member.size, ..known }
                }
                (None, Some(address)) if state != ServerState::Gone => {
                    let server = ServerId(self.next);
                    self.next = self.next.wrapping_add(1);
                    let target = Target { server, address, state, invalidate_connections: false };
                    let hash = FxBuildHasher.hash_one(&member.id);
                    Known { listed, target, started, hash, place, weight: member.size }
                }
                _ => continue,
            };
            if state != ServerState::Gone {
                self.known.insert(member.id.clone(), known);
            }
            update.targets.push(known.target);
            update.entries.push(known.entry());
        }
        update
    }
}

/// What may go to a server, by the list and by hand. One that is gone is gone.
fn effective(listed: ServerState, out: bool) -> ServerState {
    match listed {
        ServerState::Ready if out => ServerState::Draining,
        listed => listed,
    }
}

fn gone(target: Target) -> Target {
    Target { state: ServerState::Gone, invalidate_connections: true, ..target }
}

/// Position of a name among those that the settings give; names they don't give share one of their own.
fn position(names: &[String], name: &str) -> u8 {
    names.iter().position(|n| n == name).and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn directory() -> Directory {
        let names = Names { zones: vec!["a".into(), "b".into()], ..Names::default() };
        Directory::new(Rc::new(names))
    }

    fn take(directory: &mut Directory, complete: bool, members: &str) -> Update {
        let list = format!("{{\"revision\":1,\"complete\":{complete},\"members\":[{members}]}}");
        directory.take(&ServerList::parse(list.as_bytes()).expect("a list"))
    }

    fn one(id: &str, port: u16, phase: &str, up: u64) -> String {
        format!(
            "{{\"id\":\"{id}\",\"host_port\":\"127.0.0.1:{port}\",\"locality\":\"b\",\"cell\":3,\
             \"phase\":\"{phase}\",\"up_since_ms\":{up}}}"
        )
    }

    #[test]
    fn a_server_keeps_its_id_until_it_is_gone() {
        let mut directory = directory();
        let first =
            take(&mut directory, true, &[one("x", 1, "active", 0), one("y", 2, "active", 0)].join(","));
        assert_eq!(first.entries[1].zone, ZoneId(1));
        assert!(first.targets.iter().all(|t| !t.invalidate_connections));
        let again = take(&mut directory, true, &one("y", 2, "active", 0));
        assert_eq!(again.entries[0].server, first.entries[1].server);
        let dropped: Vec<_> = again.targets.iter().filter(|t| t.state == ServerState::Gone).collect();
        assert_eq!((dropped.len(), dropped[0].server), (1, first.entries[0].server));
        let back = take(&mut directory, false, &one("x", 1, "active", 0));
        assert_ne!(back.entries[0].server, first.entries[0].server, "a new one under an old name");
    }

    #[test]
    fn connections_are_renewed_by_a_move_a_restart_and_a_drain_only() {
        let mut directory = directory();
        let mut renewed = |port, phase, up| {
            let update = take(&mut directory, false, &one("x", port, phase, up));
            (update.targets[0].invalidate_connections, update.targets[0].address.port())
        };
        assert_eq!(renewed(1, "active", 5), (false, 1));
        assert_eq!(renewed(1, "active", 5), (false, 1));
        assert_eq!(renewed(1, "active", 6), (true, 1));
        assert_eq!(renewed(2, "active", 6), (true, 2));
        assert_eq!(renewed(2, "leaving", 6), (true, 2));
        assert_eq!(renewed(2, "active", 6), (false, 2));
    }

    /// The ban holds through whatever lists say: a new whole list, a restart, a removal and the same name come back.
    #[test]
    fn what_is_out_by_hand_drains_until_the_call_back() {
        let mut directory = directory();
        assert!(!directory.knows("x"));
        take(&mut directory, true, &[one("x", 1, "active", 0), one("y", 2, "active", 0)].join(","));
        let out = directory.set_out("x", true);
        assert_eq!(
            (out.entries[0].state, out.targets[0].invalidate_connections),
            (ServerState::Draining, true)
        );
        assert!(directory.set_out("x", true).entries.is_empty(), "said twice");
        let mut state = |complete, members: &str| take(&mut directory, complete, members).entries[0].state;
        assert_eq!(state(true, &one("x", 1, "active", 0)), ServerState::Draining);
        assert_eq!(state(false, &one("x", 1, "active", 9)), ServerState::Draining);
        assert_eq!(state(false, &one("x", 1, "left", 9)), ServerState::Gone);
        assert_eq!(state(false, &one("x", 3, "active", 12)), ServerState::Draining);
        assert_eq!((directory.count(), directory.knows("x")), ((1, 1), true));
        let back = directory.set_out("x", false);
        assert_eq!((back.entries[0].state, back.targets[0].address.port()), (ServerState::Ready, 3));
        assert_eq!(back.entries[0].started, Some(Time(12_000_000)), "it came back cold");
    }

    #[test]
    fn a_call_back_does_not_end_a_drain() {
        let mut directory = directory();
        take(&mut directory, true, &one("x", 1, "leaving", 0));
        directory.set_out("x", true);
        assert_eq!(directory.set_out("x", false).entries[0].state, ServerState::Draining);
    }

    #[test]
    fn word_of_an_end_needs_no_address_and_may_come_twice() {
        let mut directory = directory();
        take(&mut directory, true, &one("x", 1, "active", 7));
        let left = take(&mut directory, false, "{\"id\":\"x\",\"phase\":\"left\"}");
        assert_eq!((left.entries[0].state, left.entries[0].cell), (ServerState::Gone, CellId(3)));
        assert!(take(&mut directory, false, "{\"id\":\"x\",\"phase\":\"left\"}").entries.is_empty());
    }
}

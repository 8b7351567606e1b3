//! Names, addresses and states of servers, list after list.

use crate::list::{Phase, ServerList};
use birchswitch_site::Names;
use finchvale::{CellId, KindId, ServerEntry, ServerId, ServerState, Time, ZoneId};
use rustc_hash::{FxHashMap, FxHashSet};
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
    pub renewed: bool,
}

/// See the module's own words.
pub struct Directory {
    names: Rc<Names>,
    known: FxHashMap<String, Known>,
    next: u32,
}

#[derive(Clone, Copy)]
struct Known {
    target: Target,
    started: Option<Time>,
    place: (ZoneId, KindId, CellId),
}

impl Directory {
    /// Knows no server yet. The names tell zones and kinds.
    pub fn new(names: Rc<Names>) -> Self {
        Directory { names, known: FxHashMap::default(), next: 0 }
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
            let state = match member.phase {
                Phase::Active => ServerState::Ready,
                Phase::Leaving => ServerState::Draining,
                Phase::Left => ServerState::Gone,
            };
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
                    let renewed = known.started != started
                        || known.target.address != address
                        || state == ServerState::Draining;
                    Known { target: Target { address, state, renewed, ..known.target }, started, place }
                }
                (None, Some(address)) if state != ServerState::Gone => {
                    let server = ServerId(self.next);
                    self.next = self.next.wrapping_add(1);
                    Known { target: Target { server, address, state, renewed: false }, started, place }
                }
                _ => continue,
            };
            if state != ServerState::Gone {
                self.known.insert(member.id.clone(), known);
            }
            update.targets.push(known.target);
            let (zone, kind, cell) = known.place;
            let (server, started) = (known.target.server, known.started);
            update.entries.push(ServerEntry {
                server,
                zone,
                kind,
                cell,
                state,
                weight: member.size,
                started,
            });
        }
        update
    }
}

fn gone(target: Target) -> Target {
    Target { state: ServerState::Gone, renewed: true, ..target }
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
        assert!(first.targets.iter().all(|t| !t.renewed));
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
            (update.targets[0].renewed, update.targets[0].address.port())
        };
        assert_eq!(renewed(1, "active", 5), (false, 1));
        assert_eq!(renewed(1, "active", 5), (false, 1));
        assert_eq!(renewed(1, "active", 6), (true, 1));
        assert_eq!(renewed(2, "active", 6), (true, 2));
        assert_eq!(renewed(2, "leaving", 6), (true, 2));
        assert_eq!(renewed(2, "active", 6), (false, 2));
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

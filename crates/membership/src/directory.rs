//! Ids, addresses and states of servers across successive lists.

use crate::list::{Phase, ServerList};
use birchswitch_site::Names;
use finchvale::{CellId, KindId, ServerEntry, ServerId, ServerState, Time, ZoneId};
use rustc_hash::{FxBuildHasher, FxHashMap, FxHashSet};
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::rc::Rc;

/// The changes caused by a list.
#[derive(Debug, Default)]
pub struct Update {
    /// The list's entries for the engine.
    pub entries: Vec<ServerEntry>,
    /// The state of each server that the list names or removes, for connection pools.
    pub targets: Vec<Target>,
}

/// A server as a destination of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server's id on this node.
    pub server: ServerId,
    /// The address where it listens.
    pub address: SocketAddr,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// Whether existing connections have to be dropped, because the server restarted, moved, drains or is
    /// gone.
    pub invalidate_connections: bool,
}

/// Tracks servers by name and assigns their ids.
pub struct Directory {
    names: Rc<Names>,
    known: FxHashMap<String, KnownServer>,
    /// Names of the servers suspended by operators, listed or not.
    suspended: FxHashSet<String>,
    next_id: u32,
}

#[derive(Clone, Copy)]
struct KnownServer {
    /// The state in the list. The target's state is `Draining` instead if the server is suspended.
    listed: ServerState,
    target: Target,
    started: Option<Time>,
    /// Hash of its name, without a seed since all nodes have to compute the same value.
    hash: u64,
    location: (ZoneId, KindId, CellId),
    weight: f64,
}

impl KnownServer {
    fn entry(&self) -> ServerEntry {
        let (zone, kind, cell) = self.location;
        let (server, state, started) = (self.target.server, self.target.state, self.started);
        ServerEntry { server, name: self.hash, zone, kind, cell, state, weight: self.weight, started }
    }
}

impl Directory {
    /// Creates an empty directory. `names` maps the names of zones and kinds to their ids.
    pub fn new(names: Rc<Names>) -> Self {
        Directory { names, known: FxHashMap::default(), suspended: FxHashSet::default(), next_id: 0 }
    }

    /// Returns whether a server of this name is listed or suspended.
    pub fn knows(&self, name: &str) -> bool {
        self.known.contains_key(name) || self.suspended.contains(name)
    }

    /// Suspends or restores a server. A suspended server drains whatever lists contain, even if it is first
    /// listed later. Repeating a call has no effect.
    pub fn set_suspended(&mut self, name: &str, suspended: bool) -> Update {
        let changed = match suspended {
            true => self.suspended.insert(name.to_owned()),
            false => self.suspended.remove(name),
        };
        let mut update = Update::default();
        if let Some(known) = self.known.get_mut(name).filter(|_| changed) {
            let state = effective_state(known.listed, suspended);
            known.target =
                Target { state, invalidate_connections: state == ServerState::Draining, ..known.target };
            update.targets.push(known.target);
            update.entries.push(known.entry());
        }
        update
    }

    /// Returns the number of listed servers and how many of them are suspended.
    pub fn counts(&self) -> (usize, usize) {
        (self.known.len(), self.suspended.iter().filter(|name| self.known.contains_key(*name)).count())
    }

    /// Applies a list. A complete one removes all servers that it does not name.
    pub fn apply(&mut self, list: &ServerList) -> Update {
        let mut update = Update::default();
        if list.complete {
            let named: FxHashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
            self.known.retain(|name, known| {
                let stays = named.contains(name.as_str());
                if !stays {
                    update.targets.push(removed(known.target));
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
            let state = effective_state(listed, self.suspended.contains(&member.id));
            // The engine's clock counts in Unix time, so start times need no conversion. A conversion by the
            // current offset between two clocks would vary and make every list look like a restart.
            let started =
                (member.up_since_ms > 0).then(|| Time(member.up_since_ms.saturating_mul(1_000_000)));
            let location = (
                ZoneId(name_index(&self.names.zones, &member.locality)),
                KindId(name_index(&self.names.kinds, &member.flavor)),
                CellId(member.cell),
            );
            let known = match (self.known.get(&member.id).copied(), member.host_port) {
                // A server that left is reported with its known attributes, which its last entry need not
                // repeat.
                (Some(known), _) if state == ServerState::Gone => {
                    self.known.remove(&member.id);
                    KnownServer { target: removed(known.target), ..known }
                }
                (Some(known), address) => {
                    let address = address.unwrap_or(known.target.address);
                    // Connections to a previous process or address are dead even if they look open, and those
                    // to a draining server only occupy slots that other servers need.
                    let invalidate_connections = known.started != started
                        || known.target.address != address
                        || state == ServerState::Draining;
                    let target = Target { address, state, invalidate_connections, ..known.target };
                    KnownServer { listed, target, started, location, weight: member.size, ..known }
                }
                (None, Some(address)) if state != ServerState::Gone => {
                    let server = ServerId(self.next_id);
                    self.next_id = self.next_id.wrapping_add(1);
                    let target = Target { server, address, state, invalidate_connections: false };
                    let hash = FxBuildHasher.hash_one(&member.id);
                    KnownServer { listed, target, started, hash, location, weight: member.size }
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

/// Returns a server's state given the list and a suspension, which makes a ready server drain.
fn effective_state(listed: ServerState, suspended: bool) -> ServerState {
    match listed {
        ServerState::Ready if suspended => ServerState::Draining,
        listed => listed,
    }
}

fn removed(target: Target) -> Target {
    Target { state: ServerState::Gone, invalidate_connections: true, ..target }
}

/// Returns the index of a name in the settings. Unknown names share one index of their own.
fn name_index(names: &[String], name: &str) -> u8 {
    names.iter().position(|n| n == name).and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn directory() -> Directory {
        let names = Names { zones: vec!["a".into(), "b".into()], ..Names::default() };
        Directory::new(Rc::new(names))
    }

    fn apply(directory: &mut Directory, complete: bool, members: &str) -> Update {
        let list = format!("{{\"revision\":1,\"complete\":{complete},\"members\":[{members}]}}");
        directory.apply(&ServerList::parse(list.as_bytes()).expect("a list"))
    }

    fn member(id: &str, port: u16, phase: &str, up: u64) -> String {
        format!(
            "{{\"id\":\"{id}\",\"host_port\":\"127.0.0.1:{port}\",\"locality\":\"b\",\"cell\":3,\
             \"phase\":\"{phase}\",\"up_since_ms\":{up}}}"
        )
    }

    #[test]
    fn a_server_keeps_its_id_until_it_is_gone() {
        let mut directory = directory();
        let first = apply(
            &mut directory,
            true,
            &[member("x", 1, "active", 0), member("y", 2, "active", 0)].join(","),
        );
        assert_eq!(first.entries[1].zone, ZoneId(1));
        assert!(first.targets.iter().all(|t| !t.invalidate_connections));
        let again = apply(&mut directory, true, &member("y", 2, "active", 0));
        assert_eq!(again.entries[0].server, first.entries[1].server);
        let dropped: Vec<_> = again.targets.iter().filter(|t| t.state == ServerState::Gone).collect();
        assert_eq!((dropped.len(), dropped[0].server), (1, first.entries[0].server));
        let back = apply(&mut directory, false, &member("x", 1, "active", 0));
        assert_ne!(back.entries[0].server, first.entries[0].server, "a new server under an old name");
    }

    #[test]
    fn only_a_move_a_restart_or_a_drain_invalidates_connections() {
        let mut directory = directory();
        let mut invalidated = |port, phase, up| {
            let update = apply(&mut directory, false, &member("x", port, phase, up));
            (update.targets[0].invalidate_connections, update.targets[0].address.port())
        };
        assert_eq!(invalidated(1, "active", 5), (false, 1));
        assert_eq!(invalidated(1, "active", 5), (false, 1));
        assert_eq!(invalidated(1, "active", 6), (true, 1));
        assert_eq!(invalidated(2, "active", 6), (true, 2));
        assert_eq!(invalidated(2, "leaving", 6), (true, 2));
        assert_eq!(invalidated(2, "active", 6), (false, 2));
    }

    /// Guards against lists ending a suspension: a complete list, a restart, a removal and a return under the
    /// same name.
    #[test]
    fn a_suspended_server_drains_until_it_is_restored() {
        let mut directory = directory();
        assert!(!directory.knows("x"));
        apply(&mut directory, true, &[member("x", 1, "active", 0), member("y", 2, "active", 0)].join(","));
        let out = directory.set_suspended("x", true);
        assert_eq!(
            (out.entries[0].state, out.targets[0].invalidate_connections),
            (ServerState::Draining, true)
        );
        assert!(directory.set_suspended("x", true).entries.is_empty(), "repeated call");
        let mut state = |complete, members: &str| apply(&mut directory, complete, members).entries[0].state;
        assert_eq!(state(true, &member("x", 1, "active", 0)), ServerState::Draining);
        assert_eq!(state(false, &member("x", 1, "active", 9)), ServerState::Draining);
        assert_eq!(state(false, &member("x", 1, "left", 9)), ServerState::Gone);
        assert_eq!(state(false, &member("x", 3, "active", 12)), ServerState::Draining);
        assert_eq!((directory.counts(), directory.knows("x")), ((1, 1), true));
        let back = directory.set_suspended("x", false);
        assert_eq!((back.entries[0].state, back.targets[0].address.port()), (ServerState::Ready, 3));
        assert_eq!(back.entries[0].started, Some(Time(12_000_000)), "restored with a recent start");
    }

    #[test]
    fn a_restore_does_not_end_a_drain() {
        let mut directory = directory();
        apply(&mut directory, true, &member("x", 1, "leaving", 0));
        directory.set_suspended("x", true);
        assert_eq!(directory.set_suspended("x", false).entries[0].state, ServerState::Draining);
    }

    #[test]
    fn an_entry_of_a_server_that_left_needs_no_address_and_may_repeat() {
        let mut directory = directory();
        apply(&mut directory, true, &member("x", 1, "active", 7));
        let left = apply(&mut directory, false, "{\"id\":\"x\",\"phase\":\"left\"}");
        assert_eq!((left.entries[0].state, left.entries[0].cell), (ServerState::Gone, CellId(3)));
        assert!(apply(&mut directory, false, "{\"id\":\"x\",\"phase\":\"left\"}").entries.is_empty());
    }
}

//! Faults of many processes and of the network between them, for the [rig](crate::rig).

use super::{duration, FormattedDuration};
use std::fmt;
use std::time::Duration;

/// Nodes as a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nodes {
    /// A range, both ends included: `n2`, `n2-n5`.
    Range(usize, usize),
    /// All nodes: `nodes`.
    All,
    /// A random subset of this many thousandths: `nodes:0.7`.
    Part(u32),
    /// The nodes of one zone, counted from 0: `zone:1`.
    Zone(usize),
}

/// External endpoints that nodes are connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum External {
    /// All servers: `servers`.
    Servers,
    /// The registry: `discovery`.
    Discovery,
    /// All clients: `clients`.
    Clients,
}

/// An endpoint of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Nodes.
    Nodes(Nodes),
    /// An external endpoint.
    External(External),
}

/// Faults of a node's process on the rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// SIGKILL without a restart.
    Die,
    /// SIGTERM without a restart.
    End,
    /// Starts a process under the same name and address if none runs.
    Start,
    /// SIGSTOP, and SIGCONT after a time.
    Pause(Duration),
    /// Stopped for the first duration in each second, over the second duration.
    Stutter(Duration, Duration),
    /// Starts a second process under the same name, at another address.
    Twin,
}

/// Faults of the network, in effect from now on. Probabilities are in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireFault {
    /// Nothing passes from the first to the second: datagrams are lost, data on connections waits.
    Cut(Endpoint, Endpoint),
    /// Nothing passes in either direction.
    Split(Endpoint, Endpoint),
    /// Removes all cuts.
    Heal,
    /// Probability that a datagram is lost; on connections, that data is delayed.
    Lose(u32),
    /// Probability that a datagram is duplicated.
    Double(u32),
    /// Probability that a bit is flipped.
    Spoil(u32),
    /// Probability that a datagram is truncated.
    Shorten(u32),
    /// Upper bound of a random delay, drawn for each datagram.
    Delay(Duration),
}

pub(super) fn target(text: &str, most: usize) -> Result<Nodes, String> {
    let number = |text: &str| {
        let n = text.strip_prefix('n').and_then(|n| n.parse::<usize>().ok());
        n.filter(|n| *n < most)
            .ok_or_else(|| format!("{text:?} is not one of the nodes n0 to n{}", most.max(1) - 1))
    };
    if let Some(zone) = text.strip_prefix("zone:") {
        return zone.parse().map(Nodes::Zone).map_err(|_| format!("{zone:?} is not a zone number"));
    }
    match (text, text.strip_prefix("nodes:"), text.split_once('-')) {
        ("nodes", ..) => Ok(Nodes::All),
        (_, Some(of), _) => part(of).map(Nodes::Part),
        (_, _, Some((first, last))) => {
            let (first, last) = (number(first)?, number(last)?);
            if first > last {
                return Err(format!("{text} is not an ascending range"));
            }
            Ok(Nodes::Range(first, last))
        }
        (one, ..) => number(one).map(|n| Nodes::Range(n, n)),
    }
}

fn endpoints(one: &str, other: &str, most: usize) -> Result<(Endpoint, Endpoint), String> {
    let end = |text: &str| match text {
        "servers" => Ok(Endpoint::External(External::Servers)),
        "discovery" => Ok(Endpoint::External(External::Discovery)),
        "clients" => Ok(Endpoint::External(External::Clients)),
        _ => target(text, most).map(Endpoint::Nodes),
    };
    match (end(one)?, end(other)?) {
        (Endpoint::External(_), Endpoint::External(_)) => Err(format!("{one}, {other}: one must be a node")),
        ends => Ok(ends),
    }
}

fn part(text: &str) -> Result<u32, String> {
    let thousandths = text.parse::<f64>().ok().map(|p| (p * 1e3).round()).filter(|p| (0.0..=1e3).contains(p));
    thousandths.map(|p| p as u32).ok_or_else(|| format!("{text:?} is not a fraction from 0 to 1"))
}

pub(super) fn process_fault(words: &[&str]) -> Option<Result<ProcessFault, String>> {
    Some(match words {
        ["die"] => Ok(ProcessFault::Die),
        ["end"] => Ok(ProcessFault::End),
        ["start"] => Ok(ProcessFault::Start),
        ["twin"] => Ok(ProcessFault::Twin),
        ["pause", length] => duration(length).map(ProcessFault::Pause),
        ["stutter", stopped, "for", length] => {
            duration(stopped).and_then(|s| Ok(ProcessFault::Stutter(s, duration(length)?)))
        }
        _ => return None,
    })
}

pub(super) fn wire_fault(words: &[&str], most: usize) -> Result<WireFault, String> {
    match words {
        ["cut", from, to] => endpoints(from, to, most).map(|(from, to)| WireFault::Cut(from, to)),
        ["split", one, other] => endpoints(one, other, most).map(|(one, other)| WireFault::Split(one, other)),
        ["heal"] => Ok(WireFault::Heal),
        ["lose", of] => part(of).map(WireFault::Lose),
        ["double", of] => part(of).map(WireFault::Double),
        ["spoil", of] => part(of).map(WireFault::Spoil),
        ["shorten", of] => part(of).map(WireFault::Shorten),
        ["delay", most] => duration(most).map(WireFault::Delay),
        _ => {
            let expected =
                "`cut END END`, `split END END` (nodes, `servers`, `discovery` or `clients`), `heal`, `lose PART`, `double PART`, `spoil PART`, \
                          `shorten PART` or `delay TIME`";
            Err(format!("{:?} is not a fault of the wire: expected {expected}", words.join(" ")))
        }
    }
}

struct Thousandths(u32);

impl fmt::Display for Thousandths {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / 1e3)
    }
}

impl fmt::Display for Nodes {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Nodes::Range(a, b) if a == b => write!(f, "n{a}"),
            Nodes::Range(a, b) => write!(f, "n{a}-n{b}"),
            Nodes::All => f.write_str("nodes"),
            Nodes::Part(part) => write!(f, "nodes:{}", Thousandths(*part)),
            Nodes::Zone(zone) => write!(f, "zone:{zone}"),
        }
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Endpoint::Nodes(nodes) => nodes.fmt(f),
            Endpoint::External(External::Servers) => f.write_str("servers"),
            Endpoint::External(External::Discovery) => f.write_str("discovery"),
            Endpoint::External(External::Clients) => f.write_str("clients"),
        }
    }
}

impl fmt::Display for ProcessFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ProcessFault::Die => f.write_str("die"),
            ProcessFault::End => f.write_str("end"),
            ProcessFault::Start => f.write_str("start"),
            ProcessFault::Twin => f.write_str("twin"),
            ProcessFault::Pause(length) => write!(f, "pause {}", FormattedDuration(*length)),
            ProcessFault::Stutter(stopped, length) => {
                write!(f, "stutter {} for {}", FormattedDuration(*stopped), FormattedDuration(*length))
            }
        }
    }
}

impl fmt::Display for WireFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WireFault::Cut(from, to) => write!(f, "cut {from} {to}"),
            WireFault::Split(one, other) => write!(f, "split {one} {other}"),
            WireFault::Heal => f.write_str("heal"),
            WireFault::Lose(part) => write!(f, "lose {}", Thousandths(*part)),
            WireFault::Double(part) => write!(f, "double {}", Thousandths(*part)),
            WireFault::Spoil(part) => write!(f, "spoil {}", Thousandths(*part)),
            WireFault::Shorten(part) => write!(f, "shorten {}", Thousandths(*part)),
            WireFault::Delay(most) => write!(f, "delay {}", FormattedDuration(*most)),
        }
    }
}

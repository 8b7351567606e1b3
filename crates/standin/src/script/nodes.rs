//! Faults of many processes and of the wire between them, for the [rig](crate::rig).

use super::{duration, FormattedDuration};
use std::fmt;
use std::time::Duration;

/// Some of the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nodes {
    /// From the first to the last, both included: `n2`, `n2-n5`.
    Range(usize, usize),
    /// Each of them: `nodes`.
    All,
    /// So many thousandths of them, by chance: `nodes:0.7`.
    Part(u32),
    /// Those of one zone, counted from 0: `zone:1`.
    Zone(usize),
}

/// Whom a node speaks with that is no node, over connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum External {
    /// All servers: `servers`.
    Servers,
    /// The registry: `discovery`.
    Discovery,
    /// Whoever asks: `clients`.
    Clients,
}

/// An end of a way on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Nodes.
    Nodes(Nodes),
    /// No nodes.
    External(External),
}

/// What may befall a node's process on the rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// SIGKILL, and nothing after it.
    Die,
    /// SIGTERM.
    End,
    /// A process under the same name and address, in place of one that is gone.
    Start,
    /// SIGSTOP, and SIGCONT after so long.
    Pause(Duration),
    /// Stopped for so much of each second, for so long.
    Stutter(Duration, Duration),
    /// A second process under the same name, at an address of its own.
    Twin,
}

/// What the wire does from now on. Parts are thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireFault {
    /// Nothing passes from the first to the second: datagrams are lost, what connections carry waits.
    Cut(Endpoint, Endpoint),
    /// Nothing passes between them.
    Split(Endpoint, Endpoint),
    /// All that was cut passes again.
    Heal,
    /// So many are lost.
    Lose(u32),
    /// So many come twice.
    Double(u32),
    /// In so many a bit is changed.
    Spoil(u32),
    /// So many are cut short.
    Shorten(u32),
    /// Each is held back by a time up to this, drawn anew for each.
    Delay(Duration),
}

pub(super) fn target(text: &str, most: usize) -> Result<Nodes, String> {
    let number = |text: &str| {
        let n = text.strip_prefix('n').and_then(|n| n.parse::<usize>().ok());
        n.filter(|n| *n < most)
            .ok_or_else(|| format!("{text:?} is none of the nodes n0 to n{}", most.max(1) - 1))
    };
    if let Some(zone) = text.strip_prefix("zone:") {
        return zone.parse().map(Nodes::Zone).map_err(|_| format!("{zone:?} is no number of a zone"));
    }
    match (text, text.strip_prefix("nodes:"), text.split_once('-')) {
        ("nodes", ..) => Ok(Nodes::All),
        (_, Some(of), _) => part(of).map(Nodes::Part),
        (_, _, Some((first, last))) => {
            let (first, last) = (number(first)?, number(last)?);
            if first > last {
                return Err(format!("{text} runs backwards"));
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
    thousandths.map(|p| p as u32).ok_or_else(|| format!("{text:?} is no part from 0 to 1"))
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
            let wanted =
                "`cut END END`, `split END END` (nodes, `servers`, `discovery` or `clients`), `heal`, `lose PART`, `double PART`, `spoil PART`, \
                          `shorten PART` or `delay TIME`";
            Err(format!("{:?} befalls no wire: wanted {wanted}", words.join(" ")))
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

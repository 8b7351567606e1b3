//! Fault scripts: what fails and when, as text.
//!
//! ```text
//! # time  target   fault
//! seed 7
//! 8s      s2       freeze 1500ms
//! 15s     s0-s3    deploy drain 2s every 4s
//! 30s     any      slow 0.5 for 10s
//! 40s     s5       die
//! 45s     registry silent 3s
//! 50s     s5       start
//!
//! 51s     n3-n5    pause 2s
//! 55s     wire     cut n0 n1
//! 60s     wire     heal
//! ```
//!
//! The last three lines need the rig of many processes ([`crate::rig`]); [`ProcessFault`] and [`WireFault`] list all
//! faults of that kind.
//!
//! Each line holds one fault; `#` starts a comment. Times are integers with `ms` or `s`, counted from the start.
//! Targets are:
//!
//! - servers: one (`s2`), a range (`s0-s3`, both ends included), `all`, or `any` (one, chosen at random from the seed);
//! - a node (`n0`);
//! - for a [`ProcessFault`] also a range of nodes (`n3-n5`), all (`nodes`), a random fraction (`nodes:0.7`), or those of a
//!   zone (`zone:1`);
//! - the `registry`;
//! - the `wire`, that is the network between the nodes and to their external endpoints, for a [`WireFault`].

mod nodes;

pub use nodes::{Endpoint, External, Nodes, ProcessFault, WireFault};
use std::fmt;
use std::time::Duration;

/// A script, sorted by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Script {
    /// Seed of all random choices.
    pub seed: u64,
    /// Faults and their times.
    pub entries: Vec<Entry>,
}

/// A line of a script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Time since the start.
    pub at: Duration,
    /// The fault and its target.
    pub injection: Injection,
}

/// A fault and its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Injection {
    /// A fault of servers.
    Servers(Servers, Fault),
    /// A fault of one node.
    Node(usize, NodeFault),
    /// A fault of nodes' processes, on the rig only.
    Nodes(Nodes, ProcessFault),
    /// A fault of the network between nodes, on the rig only.
    Wire(WireFault),
    /// The registry sends nothing and answers nothing for a time.
    RegistrySilent(Duration),
}

/// Servers as a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Servers {
    /// A range, both ends included.
    Range(usize, usize),
    /// All servers.
    All,
    /// A random server.
    Any,
}

/// Faults of a server. Factors are in thousandths, so that a printed script parses to the same value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Stops working and answering for a time; connections stay open.
    Freeze(Duration),
    /// Works at this many thousandths of its speed for a time.
    Slow(u32, Duration),
    /// The process dies: connections are reset, and new ones are refused. The registry notices after a delay.
    Die,
    /// Starts a dead process again, cold.
    Start,
    /// Rolling deploy of the targets: each is announced as draining, ended after the drain, and started cold.
    Deploy {
        /// Time from the announcement to the end.
        drain: Duration,
        /// Time from one server's announcement to the next one's.
        every: Duration,
    },
}

/// Faults of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeFault {
    /// SIGTERM, and a new process at the same address after the exit.
    Restart,
    /// SIGKILL, and a new process at the same address.
    Kill,
}

/// Why a script is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct ScriptError {
    /// Line number, counted from 1.
    pub line: usize,
    /// What is wrong, and what was expected.
    pub problem: String,
}

impl Script {
    /// Parses a script for this number of servers and nodes.
    pub fn parse(text: &str, servers: usize, nodes: usize) -> Result<Self, ScriptError> {
        let mut script = Script::default();
        for (number, line) in text.lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
            let error = |problem| ScriptError { line: number + 1, problem };
            match words[..] {
                [] => {}
                ["seed", seed] => {
                    script.seed =
                        seed.parse().map_err(|_| error(format!("{seed:?} is not a whole number")))?;
                }
                [at, target, ref fault @ ..] => {
                    let at = duration(at).map_err(error)?;
                    let injection = injection(target, fault, servers, nodes).map_err(error)?;
                    script.entries.push(Entry { at, injection });
                }
                _ => return Err(error("expected a time, a target and a fault".into())),
            }
        }
        script.entries.sort_by_key(|e| e.at);
        Ok(script)
    }
}

fn injection(target: &str, fault: &[&str], servers: usize, count: usize) -> Result<Injection, String> {
    if target == "registry" {
        return match fault {
            ["silent", length] => Ok(Injection::RegistrySilent(duration(length)?)),
            _ => Err(format!("{:?} is not a fault of the registry: expected `silent TIME`", fault.join(" "))),
        };
    }
    if target == "wire" {
        return nodes::wire_fault(fault, count).map(Injection::Wire);
    }
    if let Some(what) = nodes::process_fault(fault).filter(|_| target.starts_with(['n', 'z'])) {
        return Ok(Injection::Nodes(nodes::target(target, count)?, what?));
    }
    let number = |text: &str, most: usize| match text.parse::<usize>() {
        Ok(n) if n < most => Ok(n),
        Ok(n) => Err(format!("{target}: there are {most}, and {n} is not in 0 to {}", most - 1)),
        Err(_) => Err(format!("{target:?} is not a target: expected sN, sN-sM, all, any, nN or registry")),
    };
    if let Some(n) = target.strip_prefix('n') {
        let node = number(n, count)?;
        return match fault {
            ["restart"] => Ok(Injection::Node(node, NodeFault::Restart)),
            ["kill"] => Ok(Injection::Node(node, NodeFault::Kill)),
            _ => {
                let expected =
                    "`restart` or `kill`; on the rig `die`, `end`, `start`, `twin`, `pause TIME` or \
                              `stutter TIME for TIME`";
                Err(format!("{:?} is not a fault of a node: expected {expected}", fault.join(" ")))
            }
        };
    }
    let who = match (target, target.split_once('-')) {
        ("all", _) => Servers::All,
        ("any", _) => Servers::Any,
        (_, Some((first, last))) => {
            let (first, last) = (
                number(first.strip_prefix('s').unwrap_or("?"), servers)?,
                number(last.strip_prefix('s').unwrap_or("?"), servers)?,
            );
            if first > last {
                return Err(format!("{target} is not an ascending range"));
            }
            Servers::Range(first, last)
        }
        (one, None) => {
            let n = number(one.strip_prefix('s').unwrap_or("?"), servers)?;
            Servers::Range(n, n)
        }
    };
    let what = match fault {
        ["freeze", length] => Fault::Freeze(duration(length)?),
        ["slow", factor, "for", length] => {
            let thousandths = factor.parse::<f64>().map(|f| (f * 1e3).round());
            match thousandths {
                Ok(t) if (1.0..=1e6).contains(&t) => Fault::Slow(t as u32, duration(length)?),
                _ => return Err(format!("{factor:?} is not a factor from 0.001 to 1000")),
            }
        }
        ["die"] => Fault::Die,
        ["start"] => Fault::Start,
        ["deploy", "drain", drain, "every", every] => {
            Fault::Deploy { drain: duration(drain)?, every: duration(every)? }
        }
        _ => {
            let expected =
                "`freeze TIME`, `slow FACTOR for TIME`, `die`, `start` or `deploy drain TIME every TIME`";
            return Err(format!("{:?} is not a fault of a server: expected {expected}", fault.join(" ")));
        }
    };
    Ok(Injection::Servers(who, what))
}

fn duration(text: &str) -> Result<Duration, String> {
    let split = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let expected = || format!("{text:?} is not a time: expected a whole number with `ms` or `s`");
    let number: u32 = text[..split].parse().map_err(|_| expected())?;
    match &text[split..] {
        "ms" => Ok(Duration::from_millis(number.into())),
        "s" => Ok(Duration::from_secs(number.into())),
        _ => Err(expected()),
    }
}

/// Formats a duration in the script's syntax.
struct FormattedDuration(Duration);

impl fmt::Display for FormattedDuration {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0.subsec_millis() {
            0 => write!(f, "{}s", self.0.as_secs()),
            _ => write!(f, "{}ms", self.0.as_millis()),
        }
    }
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        self.entries.iter().try_for_each(|e| writeln!(f, "{} {}", FormattedDuration(e.at), e.injection))
    }
}

impl fmt::Display for Injection {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Injection::Servers(Servers::All, fault) => write!(f, "all {fault}"),
            Injection::Servers(Servers::Any, fault) => write!(f, "any {fault}"),
            Injection::Servers(Servers::Range(a, b), fault) if a == b => write!(f, "s{a} {fault}"),
            Injection::Servers(Servers::Range(a, b), fault) => write!(f, "s{a}-s{b} {fault}"),
            Injection::Node(n, NodeFault::Restart) => write!(f, "n{n} restart"),
            Injection::Node(n, NodeFault::Kill) => write!(f, "n{n} kill"),
            Injection::Nodes(who, fault) => write!(f, "{who} {fault}"),
            Injection::Wire(fault) => write!(f, "wire {fault}"),
            Injection::RegistrySilent(length) => write!(f, "registry silent {}", FormattedDuration(*length)),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Freeze(length) => write!(f, "freeze {}", FormattedDuration(*length)),
            Fault::Slow(part, length) => {
                write!(f, "slow {} for {}", f64::from(*part) / 1e3, FormattedDuration(*length))
            }
            Fault::Die => f.write_str("die"),
            Fault::Start => f.write_str("start"),
            Fault::Deploy { drain, every } => {
                write!(f, "deploy drain {} every {}", FormattedDuration(*drain), FormattedDuration(*every))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn errors_name_the_line_and_the_problem() {
        for (text, expected) in [
            ("seed x", "line 1: \"x\" is not a whole number"),
            ("# fine\n8s", "line 2: expected a time, a target and a fault"),
            ("8 s1 die", "line 1: \"8\" is not a time"),
            ("8h s1 die", "line 1: \"8h\" is not a time"),
            ("99999999999s s1 die", "is not a time"),
            ("8s s9 die", "there are 4, and 9 is not in 0 to 3"),
            ("8s s2-s1 die", "is not an ascending range"),
            ("8s s1-2 die", "is not a target"),
            ("8s é die", "is not a target"),
            ("8s s1 vanish", "\"vanish\" is not a fault of a server"),
            ("8s n0 freeze 1s", "is not a fault of a node"),
            ("8s n0-n4 die", "\"n4\" is not one of the nodes n0 to n0"),
            ("8s nodes:2 die", "\"2\" is not a fraction"),
            ("8s zone:x die", "is not a zone number"),
            ("8s wire lose 1.5", "\"1.5\" is not a fraction"),
            ("8s wire break", "is not a fault of the wire"),
            ("8s n1 kill", "there are 1"),
            ("8s registry die", "is not a fault of the registry"),
            ("8s s1 slow 0 for 3s", "\"0\" is not a factor"),
            ("8s s1 slow NaN for 3s", "\"NaN\" is not a factor"),
        ] {
            let error = Script::parse(text, 4, 1).expect_err(text).to_string();
            assert!(error.contains(expected), "{text}: {error}");
        }
    }

    fn any_duration() -> impl Strategy<Value = Duration> {
        (0u64..100_000).prop_map(Duration::from_millis)
    }

    fn any_injection() -> impl Strategy<Value = Injection> {
        let servers = prop_oneof![
            Just(Servers::All),
            Just(Servers::Any),
            (0usize..4, 0usize..4).prop_map(|(a, b)| Servers::Range(a.min(b), a.max(b)))
        ];
        let fault = prop_oneof![
            any_duration().prop_map(Fault::Freeze),
            (1u32..1_000_000, any_duration()).prop_map(|(p, d)| Fault::Slow(p, d)),
            Just(Fault::Die),
            Just(Fault::Start),
            (any_duration(), any_duration()).prop_map(|(drain, every)| Fault::Deploy { drain, every }),
        ];
        let nodes = || {
            prop_oneof![
                Just(Nodes::All),
                (0usize..2, 0usize..2).prop_map(|(a, b)| Nodes::Range(a.min(b), a.max(b))),
                (0u32..=1000).prop_map(Nodes::Part),
                (0usize..9).prop_map(Nodes::Zone),
            ]
        };
        let far = || prop_oneof![Just(External::Servers), Just(External::Discovery), Just(External::Clients)];
        let nodes_fault = prop_oneof![
            Just(ProcessFault::Die),
            Just(ProcessFault::End),
            Just(ProcessFault::Start),
            Just(ProcessFault::Twin),
            any_duration().prop_map(ProcessFault::Pause),
            (any_duration(), any_duration()).prop_map(|(a, b)| ProcessFault::Stutter(a, b)),
        ];
        let wire = prop_oneof![
            (nodes(), nodes()).prop_map(|(a, b)| WireFault::Cut(Endpoint::Nodes(a), Endpoint::Nodes(b))),
            (nodes(), far()).prop_map(|(a, b)| WireFault::Split(Endpoint::Nodes(a), Endpoint::External(b))),
            (far(), nodes()).prop_map(|(a, b)| WireFault::Cut(Endpoint::External(a), Endpoint::Nodes(b))),
            Just(WireFault::Heal),
            (0u32..=1000).prop_map(WireFault::Lose),
            (0u32..=1000).prop_map(WireFault::Double),
            (0u32..=1000).prop_map(WireFault::Spoil),
            (0u32..=1000).prop_map(WireFault::Shorten),
            any_duration().prop_map(WireFault::Delay),
        ];
        prop_oneof![
            (nodes(), nodes_fault).prop_map(|(n, f)| Injection::Nodes(n, f)),
            wire.prop_map(Injection::Wire),
            (servers, fault).prop_map(|(s, f)| Injection::Servers(s, f)),
            (0usize..2, any::<bool>())
                .prop_map(|(n, k)| Injection::Node(n, if k { NodeFault::Kill } else { NodeFault::Restart })),
            any_duration().prop_map(Injection::RegistrySilent),
        ]
    }

    proptest! {
        #[test]
        fn printed_scripts_parse_to_the_same_script(
            seed: u64,
            entries in prop::collection::vec((any_duration(), any_injection()), 0..20),
        ) {
            let mut entries: Vec<_> = entries.into_iter().map(|(at, injection)| Entry { at, injection }).collect();
            entries.sort_by_key(|e| e.at);
            let script = Script { seed, entries };
            prop_assert_eq!(Script::parse(&script.to_string(), 4, 2), Ok(script));
        }

        #[test]
        fn arbitrary_text_never_panics(text: String) {
            let _ = Script::parse(&text, 4, 1);
        }
    }
}

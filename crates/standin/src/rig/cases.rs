//! Difficult cases of membership. Each is a script for the rig with expectations on the recorded history.

use super::checker::Checker;
use super::history::{now, History};
use super::{Plan, Rig, RigError};
use crate::process::cpu_time;
use crate::script::{Entry, Script, ScriptError};
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// Time within which all survivors know of a death. In virtual time it is 5.1 s at 20% loss; here processes share their
/// cores with others.
const DETECTION_BOUND: Duration = Duration::from_secs(12);
/// Time within which all processes agree on one membership again. In virtual time 5 s are asserted.
const AGREEMENT_BOUND: Duration = Duration::from_secs(20);

/// An expectation beyond those that hold for every case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// No member is declared dead.
    NoVerdict,
    /// Only members in this range of places are declared dead.
    VerdictsOnlyOn(usize, usize),
    /// Members in this range of places declare nobody dead.
    NoVerdictBy(usize, usize),
    /// The process at this place logged an event of this kind.
    Logged(usize, &'static str),
    /// No node of the case logged an event of this kind.
    NeverLogged(&'static str),
    /// No process declared any one member dead more often than this.
    VerdictsAtMost(usize),
    /// The widest gap on the ring is at most this many percent above the mean, once positions have settled.
    EvenRing(u32),
}

/// A case of membership.
pub struct Case {
    /// Name of the case.
    pub name: &'static str,
    /// Number of nodes, and of further places for second processes.
    pub nodes: [usize; 2],
    /// Script of the case; the run's seed replaces the script's.
    pub script: &'static str,
    /// Expectations beyond those of every case.
    pub expectations: &'static [Expectation],
}

use Expectation::*;

/// All cases. CI runs the short ones.
pub const CASES: &[Case] = &[
    Case { name: "kill", nodes: [12, 0], script: "1s n5 die\n14s n5 start", expectations: &[VerdictsOnlyOn(5, 5), EvenRing(15)] },
    Case { name: "kill-lossy", nodes: [12, 0], script: "0s wire lose 0.2\n1s n5 die\n15s wire lose 0", expectations: &[VerdictsOnlyOn(5, 5)] },
    Case { name: "pause-2s", nodes: [12, 0], script: "1s n3 pause 2s\n6s n3 pause 2s", expectations: &[NoVerdict] },
    Case { name: "pause-20s", nodes: [12, 0], script: "1s n3 pause 20s", expectations: &[VerdictsOnlyOn(3, 3), NoVerdictBy(3, 3), Logged(3, "held_up")] },
    Case { name: "stutter", nodes: [12, 0], script: "0s wire lose 0.1\n1s n2-n4 stutter 400ms for 60s\n62s wire lose 0", expectations: &[NoVerdict] },
    Case { name: "stutter-short", nodes: [12, 0], script: "0s wire lose 0.1\n1s n2-n4 stutter 400ms for 9s\n11s wire lose 0", expectations: &[NoVerdict] },
    Case { name: "one-way", nodes: [12, 0], script: "1s wire cut n1 n0\n16s wire heal", expectations: &[NoVerdict] },
    Case {
        name: "deaf",
        nodes: [12, 0],
        script: "1s wire cut nodes n4\n16s wire heal",
        expectations: &[VerdictsOnlyOn(4, 4), NoVerdictBy(4, 4), Logged(4, "cut_off"), Logged(4, "hears")],
    },
    Case {
        name: "zone-unheard",
        nodes: [12, 0],
        script: "1s wire cut zone:0 zone:1\n1s wire cut zone:0 zone:2\n1s wire cut zone:0 zone:3\n21s wire heal",
        expectations: &[VerdictsOnlyOn(0, 2), NoVerdictBy(0, 2)],
    },
    Case { name: "halves", nodes: [12, 0], script: "1s wire split n0-n5 n6-n11\n21s wire heal", expectations: &[VerdictsAtMost(1)] },
    Case {
        name: "thirds",
        nodes: [12, 0],
        script: "1s wire split n0-n3 n4-n11\n1s wire split n4-n7 n8-n11\n21s wire heal",
        expectations: &[VerdictsAtMost(1)],
    },
    Case {
        name: "flapping",
        nodes: [12, 0],
        script: "0s wire split n0-n3 n4-n11\n3s wire heal\n6s wire split n0-n3 n4-n11\n9s wire heal\n12s wire split n0-n3 n4-n11\n\
                 15s wire heal\n18s wire split n0-n3 n4-n11\n21s wire heal\n24s wire split n0-n3 n4-n11\n27s wire heal\n\
                 30s wire split n0-n3 n4-n11\n33s wire heal\n36s wire split n0-n3 n4-n11\n39s wire heal\n\
                 42s wire split n0-n3 n4-n11\n45s wire heal\n48s wire split n0-n3 n4-n11\n51s wire heal\n\
                 54s wire split n0-n3 n4-n11\n57s wire heal",
        expectations: &[VerdictsAtMost(10)],
    },
    Case {
        name: "quick-restart",
        nodes: [12, 0],
        script: "0s wire delay 2s\n0s wire double 0.3\n1s n7 die\n1300ms n7 start\n8s n7 die\n12s n7 start\n18s wire delay 0s\n18s wire double 0",
        expectations: &[VerdictsOnlyOn(7, 7)],
    },
    Case { name: "all-restart", nodes: [12, 0], script: "1s nodes die\n1s nodes start", expectations: &[NoVerdict] },
    Case {
        name: "twins",
        nodes: [12, 1],
        script: "1s n5 twin\n9s wire lose 0",
        expectations: &[NoVerdict, Logged(5, "yielded"), Logged(12, "twin"), NeverLogged("suspected")],
    },
    Case { name: "spoilt", nodes: [12, 0], script: "0s wire spoil 0.1\n0s wire shorten 0.1\n20s wire spoil 0\n20s wire shorten 0", expectations: &[NoVerdict] },
    Case { name: "seven-in-ten", nodes: [20, 0], script: "1s nodes:0.7 die\n25s wire lose 0", expectations: &[EvenRing(15)] },
    // Forty nodes join sixty at the same time.
    Case { name: "forty-join", nodes: [100, 0], script: "1s n60-n99 end\n2s n60-n99 start", expectations: &[NoVerdict, EvenRing(15)] },
    Case { name: "tenth-at-a-time", nodes: [20, 0], script: "1s n0-n1 end\n1s n0-n1 start\n4s n2-n3 end\n4s n2-n3 start\n7s n4-n5 end\n7s n4-n5 start\n10s n6-n7 end\n10s n6-n7 start", expectations: &[NoVerdict, EvenRing(15)] },
];

/// Result of a case.
pub struct Outcome {
    /// What did not hold.
    pub violations: Vec<String>,
    /// Time from the end of the script until all processes agreed on one membership.
    pub agreed: Option<Duration>,
    /// Time from each death until each survivor knew of it.
    pub detections: Vec<Duration>,
    /// Number of verdicts.
    pub verdicts: usize,
    /// Datagrams that a node sent per second, on average.
    pub datagrams: f64,
    /// Events of the whole run.
    pub history: History,
}

/// Why a case could not be evaluated.
#[derive(Debug, thiserror::Error)]
pub enum CaseError {
    /// The script is not valid.
    #[error("script, {0}")]
    Script(#[from] ScriptError),
    /// The rig failed.
    #[error(transparent)]
    Rig(#[from] RigError),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let seconds = |d: Option<&Duration>| d.map_or("-".to_owned(), |d| format!("{:.1}", d.as_secs_f64()));
        let mut known = self.detections.clone();
        known.sort();
        write!(
            f,
            "{:>9}{:>12}{:>12}{:>10}{:>13.1}",
            seconds(self.agreed.as_ref()),
            seconds(known.get(known.len() / 2)),
            seconds(known.last()),
            self.verdicts,
            self.datagrams
        )
    }
}

/// Runs a case and checks its history.
pub async fn play(
    case: &Case,
    binary: PathBuf,
    seed: u64,
    report: impl FnMut(&Entry),
) -> Result<Outcome, CaseError> {
    let [nodes, spare] = case.nodes;
    let mut script = Script::parse(case.script, 0, nodes)?;
    script.seed = seed;
    let plan = Plan { spare, zones: 4, ..Plan::new(binary, nodes, script) };
    let mut rig = Rig::start(plan).await?;
    rig.wait_for_agreement(Duration::from_secs(60)).await?;
    let (began, before) = (now(), rig.wire().traffic().sent[0]);
    rig.play(report).await?;
    let mut violations = Vec::new();
    let agreed = rig.wait_for_agreement(AGREEMENT_BOUND).await;
    if let Err(error) = &agreed {
        violations.push(error.to_string());
    }
    for expectation in case.expectations {
        if let EvenRing(percent) = expectation {
            let most = 1.0 + f64::from(*percent) / 100.0;
            let uneven = |h: &History| Checker::new(h, now()).ring_unevenness();
            let settled = |h: &History| uneven(h).is_some_and(|u| u <= most);
            let last = |h: &History| format!("{:?} of the mean", uneven(h));
            if let Err(error) = rig.wait_until("an even ring", AGREEMENT_BOUND, settled, last).await {
                violations.push(error.to_string());
            }
        }
    }
    let (end, sent) = (now(), rig.wire().traffic().sent[0] - before);
    let history = rig.history();
    rig.close().await?;
    let checker = Checker::new(&history, end);
    violations.extend(checker.false_verdicts());
    violations.extend(checker.missed_deaths(DETECTION_BOUND));
    violations.extend(checker.incarnation_regressions());
    let verdicts: Vec<_> = history.lines.iter().filter(|l| l.kind == "verdict").collect();
    for expectation in case.expectations {
        let row = |a: usize, b: usize| (a..=b).map(|n| format!("n{n}")).collect::<Vec<_>>();
        let found = match *expectation {
            EvenRing(_) => None,
            NoVerdict => (!verdicts.is_empty()).then(|| format!("{} verdicts, want none", verdicts.len())),
            VerdictsOnlyOn(a, b) => {
                let other = verdicts.iter().find(|l| !row(a, b).contains(&l.text("member").to_owned()));
                other.map(|l| format!("a verdict on {}", l.text("member")))
            }
            NoVerdictBy(a, b) => {
                let by = verdicts.iter().find(|l| (a..=b).contains(&l.place));
                by.map(|l| format!("n{} declared {} dead", l.place, l.text("member")))
            }
            Logged(place, kind) => {
                (checker.count_events(place, kind) == 0).then(|| format!("place {place} logged no {kind:?}"))
            }
            NeverLogged(kind) => {
                let line = history.lines.iter().find(|l| l.kind == kind);
                line.map(|l| format!("n{} logged {kind:?} of {}", l.place, l.text("member")))
            }
            VerdictsAtMost(most) => {
                let found = checker.max_verdicts_per_member();
                (found > most)
                    .then(|| format!("{found} verdicts by one process on one member, {most} allowed"))
            }
        };
        violations.extend(found);
    }
    let span = (end - began) as f64 / 1e9;
    Ok(Outcome {
        violations,
        agreed: agreed.ok(),
        detections: checker.detections(),
        verdicts: verdicts.len(),
        datagrams: sent as f64 / span / nodes as f64,
        history,
    })
}

/// What an idle fleet costs each of its processes.
pub struct Idle {
    /// Time until all processes knew each other.
    pub agreed: Duration,
    /// Fraction of a core used by a node's thread: mean and maximum over all nodes.
    pub cpu: [f64; 2],
    /// Datagrams and bytes that a node sent per second.
    pub sent: [f64; 2],
}

/// Starts processes, waits until they agree on one membership, and measures them while idle.
pub async fn idle(nodes: usize, binary: PathBuf, length: Duration) -> Result<Idle, RigError> {
    let plan = Plan { zones: 4, ..Plan::new(binary, nodes, Script::default()) };
    let mut rig = Rig::start(plan).await?;
    let agreed = rig.wait_for_agreement(Duration::from_secs(120)).await?;
    let spent = |rig: &Rig| rig.places().iter().filter_map(|n| rig.pid(*n)).map(cpu_time).collect::<Vec<_>>();
    let (before, sent) = (spent(&rig), rig.wire().traffic().sent);
    rig.play(|_| {}).await?;
    tokio::time::sleep(length).await;
    let (after, now) = (spent(&rig), rig.wire().traffic().sent);
    rig.close().await?;
    let parts: Vec<f64> =
        after.iter().zip(before).map(|(a, b)| (*a - b).as_secs_f64() / length.as_secs_f64()).collect();
    let each = length.as_secs_f64() * nodes as f64;
    Ok(Idle {
        agreed,
        cpu: [parts.iter().sum::<f64>() / nodes as f64, parts.iter().copied().fold(0.0, f64::max)],
        sent: [0, 1].map(|n| (now[n] - sent[n]) as f64 / each),
    })
}

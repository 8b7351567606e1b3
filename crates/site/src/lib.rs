//! The JSON settings of an instance, turned into [`finchvale::Settings`].
//!
//! Read and passed on: `balancers`, `me`, `prices.probe` and `prices.handshake`, `profiles` (with `runs_in` and `kinds_open`), `registry_mode`, `report`,
//! `rules`, `tenants`, `over_share_worth`, `weights`, `worth_by`, `zone`, `zones`, and of `limits` the attempts, the
//! permissions, the advice on waits, `conn_idle_ns` and `connect_timeout_ns`. The names of classes, tenants, zones,
//! kinds and report values are kept beside the settings, for a node that meets them in messages.
//!
//! A price that is missing, negative or no number counts as none: a wrong price is no reason to turn a site down.
//!
//! Skipped, since no decision uses them yet: the other `prices`, `goal`, `clients`, `extra`, `tier`,
//! `tiers`, `tick_ns`, `limits.max_open`, `limits.streams_per_conn`, `limits.cpu_*`, `limits.peer_messages`,
//! `rules.answer_slack_ns` (answers are given by the deadline itself) and the report value `errors_per_s`.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use finchvale::{
    Class, Effect, KeyScope, KindId, LoadReport, Prices, Reports, Rules, Settings, Tenant, ZoneId,
};
use serde::Deserialize;
use std::time::Duration;

/// Why an instance's settings were turned down.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Not JSON, or a value of the wrong kind; names the place.
    #[error("settings at `{path}`: {problem}")]
    Json {
        /// Path of the offending key.
        path: String,
        /// What is wrong there.
        problem: String,
    },
}

/// A position in a load report and the figure found there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Busy part of the cores.
    Utilization,
    /// Requests served a second.
    Throughput,
    /// Requests waiting.
    Backlog,
    /// Requests in hand.
    Outstanding,
    /// Recent service time, milliseconds.
    RecentMs,
    /// A figure the balancer has no use for.
    Other,
}

impl ReportField {
    /// Writes the figure found at this position into a report.
    pub fn store(self, value: f64, report: &mut LoadReport) {
        match self {
            ReportField::Utilization => report.busy = Some(value),
            ReportField::Throughput => report.rate = Some(value),
            ReportField::Backlog => report.waiting = Some(value),
            ReportField::Outstanding => report.held = Some(value),
            ReportField::RecentMs => report.service = Some(value / 1e3),
            ReportField::Other => {}
        }
    }
}

/// What the settings' positions are called in messages.
#[derive(Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
    /// Values of a load report.
    pub fields: Vec<String>,
}

/// What an instance is started with.
#[derive(Debug)]
pub struct Config {
    /// For the balancer.
    pub settings: Settings,
    /// For reading load reports.
    pub fields: Vec<ReportField>,
    /// For reading messages that name things.
    pub names: Names,
}

#[derive(Deserialize)]
struct Doc {
    #[serde(default = "one")]
    balancers: u32,
    me: Option<u32>,
    #[serde(default)]
    prices: PricesDoc,
    profiles: Vec<Profile>,
    registry_mode: Mode,
    limits: Limits,
    report: Report,
    rules: RulesDoc,
    #[serde(default)]
    tenants: Vec<TenantDoc>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    weights: Weights,
    #[serde(default)]
    worth_by: WorthBy,
    #[serde(default)]
    zone: u8,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
}

/// Any JSON is borne.
#[derive(Deserialize, Default)]
#[serde(default)]
struct PricesDoc {
    probe: serde_json::Value,
    handshake: serde_json::Value,
}

/// A price in parts of a mean request's worth.
fn price(value: &serde_json::Value) -> f64 {
    value.as_f64().filter(|p| p.is_finite() && *p >= 0.0).unwrap_or(0.0)
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Automatic,
    Subscribe,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum Weights {
    #[default]
    Silent,
    Nominal,
    Rough,
    Live,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum WorthBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum EffectDoc {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum Scope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum How {
    Piggyback,
    Pull,
    Silent,
}

#[derive(Deserialize)]
struct Profile {
    #[serde(default)]
    name: String,
    promise_ns: u64,
    deadline_ns: u64,
    effect: EffectDoc,
    #[serde(default)]
    key_scope: Scope,
    #[serde(default)]
    repeat_window_ns: u64,
    importance: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    streaming: bool,
    runs_in: Option<Vec<u8>>,
    kinds_open: Option<Vec<u8>>,
}

#[derive(Deserialize)]
struct Limits {
    try_limit: u32,
    #[serde(default)]
    conn_idle_ns: u64,
    #[serde(default)]
    connect_timeout_ns: u64,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ns: u64,
}

#[derive(Deserialize)]
struct Report {
    #[serde(default)]
    fields: Vec<String>,
    how: How,
}

#[derive(Deserialize)]
struct RulesDoc {
    #[serde(default)]
    ask_every_ns: u64,
    cold_from: f64,
    drain_grace_ns: u64,
    fall_multiple: f64,
    overload_for_ns: u64,
    warm_up_ns: u64,
}

#[derive(Deserialize)]
struct TenantDoc {
    #[serde(default)]
    name: String,
    quota_per_s: f64,
}

fn one() -> u32 {
    1
}

/// Reads an instance's settings. Unknown keys are skipped; unknown words are errors.
pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let doc: Doc = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| ConfigError::Json { path: e.path().to_string(), problem: e.inner().to_string() })?;
    reader.end().map_err(|e| ConfigError::Json { path: ".".into(), problem: e.to_string() })?;
    let fields: Vec<ReportField> = doc.report.fields.iter().map(|name| field(name)).collect();
    let ns = Duration::from_nanos;
    let classes = doc.profiles.iter().map(|p| Class {
        effect: match p.effect {
            EffectDoc::Free => Effect::Safe,
            EffectDoc::SingleShot => Effect::Unsafe,
            EffectDoc::Guarded => Effect::Keyed {
                scope: match p.key_scope {
                    Scope::All => KeyScope::All,
                    Scope::Zone => KeyScope::Zone,
                    Scope::Cell => KeyScope::Cell,
                },
                window: ns(p.repeat_window_ns),
            },
        },
        aim: ns(p.promise_ns),
        aim_stretch: p.aim_stretch,
        deadline: ns(p.deadline_ns),
        worth: p.importance,
        late_worth: p.late_worth,
        streamed: p.streaming,
        zones: p.runs_in.as_ref().map(|open| open.iter().map(|&z| ZoneId(z)).collect()),
        kinds: p.kinds_open.as_ref().map(|open| open.iter().map(|&k| KindId(k)).collect()),
    });
    let settings = Settings {
        nodes: doc.balancers,
        node_index: doc.me,
        prices: Prices { probe: price(&doc.prices.probe), handshake: price(&doc.prices.handshake) },
        zone: ZoneId(doc.zone),
        zones: u8::try_from(doc.zones.len().max(1)).unwrap_or(u8::MAX),
        classes: classes.collect(),
        tenants: doc.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        over_share_worth: doc.over_share_worth,
        worth_by_work: matches!(doc.worth_by, WorthBy::Work),
        use_listed_weights: !matches!(doc.weights, Weights::Silent),
        reports: match doc.report.how {
            How::Piggyback => Reports::WithAnswers,
            How::Pull => Reports::ByProbe,
            How::Silent => Reports::Absent,
        },
        reports_rate: fields.contains(&ReportField::Utilization) && fields.contains(&ReportField::Throughput),
        subscribe_to_lists: matches!(doc.registry_mode, Mode::Subscribe),
        max_attempts: doc.limits.try_limit,
        may_cancel: doc.limits.may_cancel,
        may_probe: doc.limits.may_probe,
        second_copies: doc.limits.second_copies,
        conn_idle: ns(doc.limits.conn_idle_ns),
        connect_timeout: ns(doc.limits.connect_timeout_ns),
        max_retry_after: doc.limits.retry_after.then(|| ns(doc.limits.max_retry_after_ns)),
        rules: Rules {
            drain_grace: ns(doc.rules.drain_grace_ns),
            cold_from: doc.rules.cold_from,
            warm_up: ns(doc.rules.warm_up_ns),
            fall_multiple: doc.rules.fall_multiple,
            fall_time: ns(doc.rules.overload_for_ns),
            list_poll_interval: ns(doc.rules.ask_every_ns),
        },
    };
    let names = Names {
        classes: doc.profiles.into_iter().map(|p| p.name).collect(),
        tenants: doc.tenants.into_iter().map(|t| t.name).collect(),
        zones: doc.zones,
        kinds: doc.kinds,
        fields: doc.report.fields,
    };
    Ok(Config { settings, fields, names })
}

fn field(name: &str) -> ReportField {
    match name {
        "utilization" => ReportField::Utilization,
        "throughput" => ReportField::Throughput,
        "backlog" => ReportField::Backlog,
        "outstanding" => ReportField::Outstanding,
        "recent_ms" => ReportField::RecentMs,
        _ => ReportField::Other,
    }
}

//! Parses the JSON settings of an instance into [`finchvale::Settings`].
//!
//! Used settings: `balancers`, `me`, `prices.probe` and `prices.handshake`, `profiles` (with `runs_in` and
//! `kinds_open`), `registry_mode`, `report`, `rules`, `tenants`, `over_share_worth`, `weights`, `worth_by`,
//! `zone`, `zones`, and of `limits` the number of attempts, the permissions, the advice on retry delays,
//! `conn_idle_ns` and `connect_timeout_ns`. The names of classes, tenants, zones, kinds and report fields are
//! kept separately, for nodes whose messages contain them.
//!
//! A price that is missing, negative or not a number counts as zero: an invalid price is no reason to reject
//! a site.
//!
//! Ignored settings, which no decision uses yet: the other `prices`, `goal`, `clients`, `extra`, `tier`,
//! `tiers`, `tick_ns`, `limits.max_open`, `limits.streams_per_conn`, `limits.cpu_*`, `limits.peer_messages`,
//! `rules.answer_slack_ns` (answers are given by the deadline itself) and the report field `errors_per_s`.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use finchvale::{
    Class, Effect, KeyScope, KindId, LoadReport, Prices, Reports, Rules, Settings, Tenant, ZoneId,
};
use serde::Deserialize;
use std::time::Duration;

/// An error in an instance's settings.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Invalid JSON, or a value of the wrong type.
    #[error("settings at `{path}`: {problem}")]
    Json {
        /// Path of the key with the error.
        path: String,
        /// Description of the error.
        problem: String,
    },
}

/// The meaning of a position in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Fraction of the cores that is busy.
    Utilization,
    /// Requests served per second.
    Throughput,
    /// Requests waiting.
    Backlog,
    /// Requests accepted and not yet answered.
    Outstanding,
    /// Recent service time in milliseconds.
    RecentMs,
    /// A value that the balancer does not use.
    Other,
}

impl ReportField {
    /// Stores the value found at this position in a report.
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

/// Names by position in the settings, as they appear in messages.
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
    /// Fields of a load report.
    pub fields: Vec<String>,
}

/// The parsed settings of an instance.
#[derive(Debug)]
pub struct Config {
    /// Settings of the balancer.
    pub settings: Settings,
    /// Meaning of each position in a load report.
    pub fields: Vec<ReportField>,
    /// Names that appear in messages.
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
    registry_mode: RegistryMode,
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

/// Prices; any JSON value is accepted here, see [`price`].
#[derive(Deserialize, Default)]
#[serde(default)]
struct PricesDoc {
    probe: serde_json::Value,
    handshake: serde_json::Value,
}

/// Returns a price as a fraction of a mean request's worth; 0 if it is invalid.
fn price(value: &serde_json::Value) -> f64 {
    value.as_f64().filter(|p| p.is_finite() && *p >= 0.0).unwrap_or(0.0)
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
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
enum KeyScopeDoc {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportDelivery {
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
    key_scope: KeyScopeDoc,
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
    how: ReportDelivery,
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

/// Parses an instance's settings. Unknown keys are ignored; unknown enum values are errors.
pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let doc: Doc = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| ConfigError::Json { path: e.path().to_string(), problem: e.inner().to_string() })?;
    reader.end().map_err(|e| ConfigError::Json { path: ".".into(), problem: e.to_string() })?;
    let fields: Vec<ReportField> = doc.report.fields.iter().map(|name| report_field(name)).collect();
    let ns = Duration::from_nanos;
    let classes = doc.profiles.iter().map(|p| Class {
        effect: match p.effect {
            EffectDoc::Free => Effect::Safe,
            EffectDoc::SingleShot => Effect::Unsafe,
            EffectDoc::Guarded => Effect::Keyed {
                scope: match p.key_scope {
                    KeyScopeDoc::All => KeyScope::All,
                    KeyScopeDoc::Zone => KeyScope::Zone,
                    KeyScopeDoc::Cell => KeyScope::Cell,
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
            ReportDelivery::Piggyback => Reports::WithAnswers,
            ReportDelivery::Pull => Reports::ByProbe,
            ReportDelivery::Silent => Reports::Absent,
        },
        reports_rate: fields.contains(&ReportField::Utilization) && fields.contains(&ReportField::Throughput),
        subscribe_to_lists: matches!(doc.registry_mode, RegistryMode::Subscribe),
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

fn report_field(name: &str) -> ReportField {
    match name {
        "utilization" => ReportField::Utilization,
        "throughput" => ReportField::Throughput,
        "backlog" => ReportField::Backlog,
        "outstanding" => ReportField::Outstanding,
        "recent_ms" => ReportField::RecentMs,
        _ => ReportField::Other,
    }
}

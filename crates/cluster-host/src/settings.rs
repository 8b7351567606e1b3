//! The `[cluster]` table of the operator's file.

use birchswitch_cluster::{Settings, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// A duration with a unit, such as `400ms` or `1h`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(transparent)]
pub struct HumanDuration(#[serde(with = "humantime_serde")] Duration);

/// Positions of a table's settings in the file, for errors found in checks across settings.
#[derive(Debug)]
pub struct SettingSpans {
    spans: Vec<(&'static str, Range<usize>)>,
}

impl SettingSpans {
    /// Starts with one setting, whose position also stands for settings that are not given.
    pub fn new<T>(key: &'static str, setting: &Spanned<T>) -> Self {
        SettingSpans { spans: vec![(key, setting.span())] }
    }

    /// Records the position of a setting if it is given, and returns its value.
    pub fn record<'a, T>(&mut self, key: &'static str, given: &'a Option<Spanned<T>>) -> Option<&'a T> {
        let given = given.as_ref()?;
        self.spans.push((key, given.span()));
        Some(given.get_ref())
    }

    /// Records the position of a duration and assigns its value to `time`, if it is given.
    pub fn apply_duration(
        &mut self,
        key: &'static str,
        given: &Option<Spanned<HumanDuration>>,
        time: &mut Duration,
    ) {
        self.record(key, given).iter().for_each(|given| *time = given.0);
    }

    /// An error at the position of a setting.
    pub fn error_at(&self, key: &str, problem: impl ToString) -> SettingError {
        let span = self.spans.iter().find(|s| s.0 == key).unwrap_or(&self.spans[0]).1.clone();
        SettingError { span, problem: problem.to_string() }
    }
}

/// Safeguards that a test switches off.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drill<S> {
    #[serde(default = "Vec::new")]
    without: Vec<S>,
}

impl<S: PartialEq> Drill<S> {
    /// Whether a safeguard is enabled. All are unless the drill lists them.
    pub fn enabled(drill: &Option<Self>, safeguard: S) -> bool {
        drill.as_ref().is_none_or(|d| !d.without.contains(&safeguard))
    }
}

/// The table as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterTable {
    name: Spanned<String>,
    node: Option<Spanned<String>>,
    bind: Spanned<SocketAddr>,
    advertise: Option<Spanned<SocketAddr>>,
    #[serde(default)]
    seeds: Option<Spanned<Vec<SocketAddr>>>,
    zone: Spanned<String>,
    probe: Option<Spanned<HumanDuration>>,
    timeout: Option<Spanned<HumanDuration>>,
    suspicion: Option<Spanned<HumanDuration>>,
    exchange: Option<Spanned<HumanDuration>>,
    forget: Option<Spanned<HumanDuration>>,
    members: Option<Spanned<usize>>,
    #[serde(default = "default_true")]
    ring: bool,
}

fn default_true() -> bool {
    true
}

/// An error and its position in the file, in bytes from the beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The byte range of the offending text.
    pub span: Range<usize>,
    /// A one-line description.
    pub problem: String,
}

/// The checked table.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Settings of the membership core.
    pub settings: Settings,
    /// The member's name, if different from the node's.
    pub node: Option<String>,
    /// The address to listen on.
    pub bind: SocketAddr,
    /// The address that others send to, if different from the listening one.
    pub advertise: Option<SocketAddr>,
    /// The member's zone.
    pub zone: String,
    /// Whether the position on the ring of servers follows from the live members.
    pub ring: bool,
}

impl ClusterTable {
    /// Checks each setting by itself and against the others.
    pub fn compile(self) -> Result<ClusterSettings, SettingError> {
        let seeds = self.seeds.as_ref().map(|s| s.get_ref().clone()).unwrap_or_default();
        let mut settings = Settings::new(self.name.get_ref().clone(), seeds);
        let mut spans = SettingSpans::new("name", &self.name);
        spans.apply_duration("probe", &self.probe, &mut settings.probe);
        spans.apply_duration("timeout", &self.timeout, &mut settings.timeout);
        spans.apply_duration("suspicion", &self.suspicion, &mut settings.suspicion);
        spans.apply_duration("exchange", &self.exchange, &mut settings.exchange);
        spans.apply_duration("forget", &self.forget, &mut settings.forget);
        settings.members = spans.record("members", &self.members).copied().unwrap_or(settings.members);
        spans.record("seeds", &self.seeds);
        settings.check().map_err(|error| {
            let (SettingsError::Text(key, _) | SettingsError::Time(key, _) | SettingsError::Count(key, _)) =
                &error;
            spans.error_at(key, &error)
        })?;
        let text = |given: &Spanned<String>, key: &str| {
            let valid = |t: &str| (1..=64).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_graphic());
            let message = || format!("`{key}` has to be 1 to 64 visible ASCII characters");
            valid(given.get_ref())
                .then_some(())
                .ok_or_else(|| SettingError { span: given.span(), problem: message() })
        };
        text(&self.zone, "zone")?;
        self.node.iter().try_for_each(|n| text(n, "node"))?;
        let reachable = |at: &Spanned<SocketAddr>| {
            let address = at.get_ref();
            let valid = !address.ip().is_unspecified() && address.port() != 0;
            let problem =
                "`advertise` has to be an address and a port that other members can reach".to_owned();
            valid.then_some(()).ok_or_else(|| SettingError { span: at.span(), problem })
        };
        match &self.advertise {
            Some(advertise) => reachable(advertise)?,
            None if self.bind.get_ref().ip().is_unspecified() => {
                let problem =
                    "`bind` is a wildcard address: set `advertise` to the address that others send to"
                        .to_owned();
                return Err(SettingError { span: self.bind.span(), problem });
            }
            // A port chosen by the system is advertised once it is known.
            None => {}
        }
        Ok(ClusterSettings {
            settings,
            node: self.node.map(Spanned::into_inner),
            bind: self.bind.into_inner(),
            advertise: self.advertise.map(Spanned::into_inner),
            zone: self.zone.into_inner(),
            ring: self.ring,
        })
    }
}

//! The `[cluster]` table of an operator's file.

use birchswitch_cluster::{Settings, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// A time with its unit, such as `400ms` or `1h`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(transparent)]
pub struct HumanDuration(#[serde(with = "humantime_serde")] Duration);

/// Where in a table settings are that others are checked beside.
#[derive(Debug)]
pub struct SettingSpans {
    spans: Vec<(&'static str, Range<usize>)>,
}

impl SettingSpans {
    /// Knows of one setting, which stands for those that are not given.
    pub fn new<T>(key: &'static str, setting: &Spanned<T>) -> Self {
        SettingSpans { spans: vec![(key, setting.span())] }
    }

    /// Knows of a setting, if it is given; which is then returned.
    pub fn record<'a, T>(&mut self, key: &'static str, given: &'a Option<Spanned<T>>) -> Option<&'a T> {
        let given = given.as_ref()?;
        self.spans.push((key, given.span()));
        Some(given.get_ref())
    }

    /// Takes up a time, if it is given.
    pub fn apply_duration(
        &mut self,
        key: &'static str,
        given: &Option<Spanned<HumanDuration>>,
        time: &mut Duration,
    ) {
        self.record(key, given).iter().for_each(|given| *time = given.0);
    }

    /// What is wrong with a setting.
    pub fn error_at(&self, key: &str, problem: impl ToString) -> SettingError {
        let span = self.spans.iter().find(|s| s.0 == key).unwrap_or(&self.spans[0]).1.clone();
        SettingError { span, problem: problem.to_string() }
    }
}

/// What tests take away of a part's safeguards.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drill<S> {
    #[serde(default = "Vec::new")]
    without: Vec<S>,
}

impl<S: PartialEq> Drill<S> {
    /// Whether a safeguard is on: all are where nothing is said.
    pub fn enabled(drill: &Option<Self>, safeguard: S) -> bool {
        drill.as_ref().is_none_or(|d| !d.without.contains(&safeguard))
    }
}

/// The table as it is written.
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

/// What is wrong, and where in the file, in bytes from its beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// From where to where.
    pub span: Range<usize>,
    /// What, in one line.
    pub problem: String,
}

/// The table, checked.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// The member's own settings.
    pub settings: Settings,
    /// Its name, if it isn't the node's.
    pub node: Option<String>,
    /// Where it listens.
    pub bind: SocketAddr,
    /// Where others send to, if not where it listens.
    pub advertise: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its place on the ring of servers comes from the living members.
    pub ring: bool,
}

impl ClusterTable {
    /// Checks each setting by itself and beside the others.
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
            // A port that the system chooses is told to others as it comes.
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

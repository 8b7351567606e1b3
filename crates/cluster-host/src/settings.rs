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
pub struct Span(#[serde(with = "humantime_serde")] Duration);

impl Span {
    /// The time.
    pub fn time(self) -> Duration {
        self.0
    }
}

/// The table as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    name: Spanned<String>,
    node: Option<Spanned<String>>,
    bind: Spanned<SocketAddr>,
    advertise: Option<Spanned<SocketAddr>>,
    #[serde(default)]
    seeds: Option<Spanned<Vec<SocketAddr>>>,
    zone: Spanned<String>,
    probe: Option<Spanned<Span>>,
    timeout: Option<Spanned<Span>>,
    suspicion: Option<Spanned<Span>>,
    exchange: Option<Spanned<Span>>,
    forget: Option<Spanned<Span>>,
    members: Option<Spanned<usize>>,
    #[serde(default = "yes")]
    ring: bool,
}

fn yes() -> bool {
    true
}

/// What is wrong, and where in the file, in bytes from its beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// From where to where.
    pub span: Range<usize>,
    /// What, in one line.
    pub problem: String,
}

/// The table, checked.
#[derive(Clone, Debug)]
pub struct Compiled {
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

impl Table {
    /// Checks each setting by itself and beside the others.
    pub fn compile(self) -> Result<Compiled, Wrong> {
        let seeds = self.seeds.as_ref().map(|s| s.get_ref().clone()).unwrap_or_default();
        let mut settings = Settings::new(self.name.get_ref().clone(), seeds);
        let times = [
            ("probe", &self.probe, &mut settings.probe),
            ("timeout", &self.timeout, &mut settings.timeout),
            ("suspicion", &self.suspicion, &mut settings.suspicion),
            ("exchange", &self.exchange, &mut settings.exchange),
            ("forget", &self.forget, &mut settings.forget),
        ];
        let mut spans = vec![("name", self.name.span())];
        for (key, given, time) in times {
            if let Some(given) = given {
                *time = given.get_ref().0;
                spans.push((key, given.span()));
            }
        }
        if let Some(members) = &self.members {
            settings.members = *members.get_ref();
            spans.push(("members", members.span()));
        }
        spans.extend(self.seeds.as_ref().map(|s| ("seeds", s.span())));
        settings.check().map_err(|error| {
            let key = match &error {
                SettingsError::Text(key, _) | SettingsError::Time(key, _) | SettingsError::Count(key, _) => {
                    *key
                }
            };
            let span = spans.iter().find(|s| s.0 == key).map_or(self.name.span(), |s| s.1.clone());
            Wrong { span, problem: error.to_string() }
        })?;
        let text = |given: &Spanned<String>, key: &str| {
            let fits = |t: &str| (1..=64).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_graphic());
            let wrong = || format!("`{key}` has to be 1 to 64 visible ASCII characters");
            fits(given.get_ref()).then_some(()).ok_or_else(|| Wrong { span: given.span(), problem: wrong() })
        };
        text(&self.zone, "zone")?;
        self.node.iter().try_for_each(|n| text(n, "node"))?;
        let reachable = |at: &Spanned<SocketAddr>| {
            let address = at.get_ref();
            let fits = !address.ip().is_unspecified() && address.port() != 0;
            let problem = "others have to be able to send there: name an address and a port".to_owned();
            fits.then_some(()).ok_or_else(|| Wrong { span: at.span(), problem })
        };
        match &self.advertise {
            Some(advertise) => reachable(advertise)?,
            None if self.bind.get_ref().ip().is_unspecified() => {
                let problem = "`bind` is every address: name in `advertise` where others send to".to_owned();
                return Err(Wrong { span: self.bind.span(), problem });
            }
            // A port that the system chooses is told to others as it comes.
            None => {}
        }
        Ok(Compiled {
            settings,
            node: self.node.map(Spanned::into_inner),
            bind: self.bind.into_inner(),
            advertise: self.advertise.map(Spanned::into_inner),
            zone: self.zone.into_inner(),
            ring: self.ring,
        })
    }
}

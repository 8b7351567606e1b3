//! The `[lease]` table of the operator's file.

use birchswitch_cluster_host::{HumanDuration, SettingError, SettingSpans};
use birchswitch_lease::{Safeguards, Terms, TermsError};
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// The table as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTable {
    voters: Spanned<Vec<SocketAddr>>,
    ttl: Option<Spanned<HumanDuration>>,
    round: Option<Spanned<HumanDuration>>,
    drift: Option<Spanned<f64>>,
    drill: Option<Spanned<Drill>>,
}

/// Safeguards that a test switches off, and the rate of this process's clock.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drill {
    rate: Option<f64>,
    #[serde(default)]
    without: Vec<Without>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Without {
    Abstention,
    Margin,
    Majority,
    Promises,
    Floor,
}

/// The checked table.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// The terms of the electorate.
    pub terms: Terms,
    /// Rate of this process's lease clock in thousandths of true time: 1000 except in drills.
    pub rate: u32,
}

impl LeaseTable {
    /// Checks each setting by itself and against the others.
    pub fn compile(self) -> Result<LeaseSettings, SettingError> {
        let mut terms = Terms::new(self.voters.get_ref().clone());
        let mut spans = SettingSpans::new("voters", &self.voters);
        spans.apply_duration("ttl", &self.ttl, &mut terms.ttl);
        spans.apply_duration("round", &self.round, &mut terms.round);
        if let Some(drift) = spans.record("drift", &self.drift) {
            if !(0.001..=0.2).contains(drift) {
                return Err(spans.error_at("drift", "`drift` has to be 0.001 to 0.2"));
            }
            terms.drift = (drift * 1000.0).round() as u32;
        }
        terms.check().map_err(|error| {
            let key = match &error {
                TermsError::Time(key, _) => *key,
                TermsError::Voters(_) | TermsError::Duplicate(_) => "voters",
            };
            spans.error_at(key, &error)
        })?;
        let mut rate = 1000;
        if let Some(drill) = spans.record("drill", &self.drill) {
            let given = drill.rate.unwrap_or(1.0);
            if !(0.5..=2.0).contains(&given) {
                return Err(spans.error_at("drill", "`rate` has to be 0.5 to 2"));
            }
            rate = (given * 1000.0).round() as u32;
            let enabled = |w| !drill.without.contains(&w);
            terms.safeguards = Safeguards {
                abstention: enabled(Without::Abstention),
                margin: enabled(Without::Margin),
                majority: enabled(Without::Majority),
                promises: enabled(Without::Promises),
                floor: enabled(Without::Floor),
            };
        }
        Ok(LeaseSettings { terms, rate })
    }
}

//! The `[lease]` table of an operator's file.

use birchswitch_cluster_host::{Span, Wrong};
use birchswitch_lease::{Safeguards, Terms, TermsError};
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// The table as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    voters: Spanned<Vec<SocketAddr>>,
    ttl: Option<Spanned<Span>>,
    round: Option<Spanned<Span>>,
    drift: Option<Spanned<f64>>,
    drill: Option<Spanned<Drill>>,
}

/// What tests take away, and how fast they make a process's clock run.
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

/// The table, checked.
#[derive(Clone, Debug)]
pub struct Compiled {
    /// The electorate's terms.
    pub terms: Terms,
    /// Thousandths of true time at which this process's lease clock runs: 1000 but in drills.
    pub rate: u32,
}

impl Table {
    /// Checks each setting by itself and beside the others.
    pub fn compile(self) -> Result<Compiled, Wrong> {
        let mut terms = Terms::new(self.voters.get_ref().clone());
        let mut spans = vec![("voters", self.voters.span())];
        for (key, given, time) in
            [("ttl", &self.ttl, &mut terms.ttl), ("round", &self.round, &mut terms.round)]
        {
            if let Some(given) = given {
                *time = given.get_ref().time();
                spans.push((key, given.span()));
            }
        }
        if let Some(drift) = &self.drift {
            if !(0.001..=0.2).contains(drift.get_ref()) {
                return Err(Wrong {
                    span: drift.span(),
                    problem: "`drift` has to be 0.001 to 0.2".to_owned(),
                });
            }
            terms.drift = (drift.get_ref() * 1000.0).round() as u32;
        }
        terms.check().map_err(|error| {
            let key = match &error {
                TermsError::Time(key, _) => *key,
                TermsError::Voters(_) | TermsError::Twice(_) => "voters",
            };
            let span = spans.iter().find(|s| s.0 == key).map_or(self.voters.span(), |s| s.1.clone());
            Wrong { span, problem: error.to_string() }
        })?;
        let (mut rate, all) = (1000, Safeguards::ALL);
        if let Some(drill) = self.drill {
            let span = drill.span();
            let drill = drill.into_inner();
            let given = drill.rate.unwrap_or(1.0);
            if !(0.5..=2.0).contains(&given) {
                return Err(Wrong { span, problem: "`rate` has to be 0.5 to 2".to_owned() });
            }
            rate = (given * 1000.0).round() as u32;
            let on = |w| !drill.without.contains(&w);
            terms.safeguards = Safeguards {
                abstention: all.abstention && on(Without::Abstention),
                margin: all.margin && on(Without::Margin),
                majority: all.majority && on(Without::Majority),
                promises: all.promises && on(Without::Promises),
                floor: all.floor && on(Without::Floor),
            };
        }
        Ok(Compiled { terms, rate })
    }
}

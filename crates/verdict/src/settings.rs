//! The `[verdicts]` table of an operator's file.

use crate::detection::{Safeguards, VerdictSettings};
use birchswitch_cluster_host::{Drill, HumanDuration, SettingError, SettingSpans};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The table as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VerdictTable {
    renew: Option<Spanned<HumanDuration>>,
    ttl: Option<Spanned<HumanDuration>>,
    fails: Option<Spanned<f64>>,
    late: Option<Spanned<f64>>,
    trickle: Option<Spanned<f64>>,
    most: Option<Spanned<f64>>,
    drill: Option<Drill<Without>>,
}

/// What tests take away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Without {
    Evidence,
    Ration,
    Numbers,
}

impl VerdictTable {
    /// Checks each setting by itself and beside the others.
    pub fn compile(written: &Spanned<VerdictTable>) -> Result<VerdictSettings, SettingError> {
        let (mut places, table) = (SettingSpans::new("verdicts", written), written.get_ref());
        let usual = VerdictSettings::DEFAULT;
        let (mut renew, mut ttl) = (usual.renew, usual.ttl);
        places.apply_duration("renew", &table.renew, &mut renew);
        places.apply_duration("ttl", &table.ttl, &mut ttl);
        if !(Duration::from_millis(100)..=Duration::from_secs(30)).contains(&renew) {
            return Err(places.error_at("renew", "`renew` has to be 100ms to 30s"));
        }
        if ttl < renew * 3 || ttl > Duration::from_secs(120) {
            return Err(
                places.error_at("ttl", "`ttl` has to be at least three times `renew`, and at most 2m")
            );
        }
        let mut part = |key, given: &Option<Spanned<f64>>, otherwise: f64, least: f64, most: f64| {
            let value = places.record(key, given).copied().unwrap_or(otherwise);
            match (least..=most).contains(&value) {
                true => Ok(value),
                false => Err(places.error_at(key, format!("`{key}` has to be {least} to {most}"))),
            }
        };
        let failed_fraction = part("fails", &table.fails, usual.failed_fraction, 0.01, 1.0)?;
        let late_fraction = part("late", &table.late, usual.late_fraction, 0.01, 1.0)?;
        let trickle = part("trickle", &table.trickle, f64::from(usual.trickle) / 1000.0, 0.01, 0.5)?;
        let max_ejected_fraction = part("most", &table.most, usual.max_ejected_fraction, 0.0, 0.5)?;
        let on = |w| Drill::enabled(&table.drill, w);
        let safeguards = Safeguards {
            evidence: on(Without::Evidence),
            ejection_cap: on(Without::Ration),
            reject_stale: on(Without::Numbers),
        };
        let trickle = (trickle * 1000.0).round() as u16;
        Ok(VerdictSettings {
            renew,
            ttl,
            failed_fraction,
            late_fraction,
            trickle,
            max_ejected_fraction,
            safeguards,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Deserialize)]
    struct File {
        verdicts: Spanned<VerdictTable>,
    }

    #[test]
    fn mistakes_are_told_where_they_are() {
        let compile = |text: &str| {
            let file: File = toml::from_str(text).expect("its form is right");
            VerdictTable::compile(&file.verdicts).map_err(|w| text.get(w.span).unwrap_or_default().to_owned())
        };
        assert_eq!(compile("[verdicts]").map(|t| (t.trickle, t.max_ejected_fraction)), Ok((50, 0.25)));
        for (setting, place) in [
            ("renew = \"1ms\"", "\"1ms\""),
            ("ttl = \"1s\"", "\"1s\""),
            ("most = 0.9", "0.9"),
            ("trickle = 0.0", "0.0"),
            ("fails = 2.0", "2.0"),
        ] {
            assert_eq!(compile(&format!("[verdicts]\n{setting}")), Err(place.to_owned()));
        }
    }
}

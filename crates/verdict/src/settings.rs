//! The `[verdicts]` table of the operator's file.

use crate::detection::{Safeguards, VerdictSettings};
use birchswitch_cluster_host::{Drill, HumanDuration, SettingError, SettingSpans};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The table as parsed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VerdictTable {
    renew: Option<Spanned<HumanDuration>>,
    ttl: Option<Spanned<HumanDuration>>,
    fails: Option<Spanned<f64>>,
    late: Option<Spanned<f64>>,
    trickle: Option<Spanned<f64>>,
    most: Option<Spanned<f64>>,
    drill: Option<Drill<DisabledSafeguard>>,
}

/// Safeguards that tests turn off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum DisabledSafeguard {
    Evidence,
    Ration,
    Numbers,
}

impl VerdictTable {
    /// Validates the settings, each alone and together.
    pub fn compile(parsed: &Spanned<VerdictTable>) -> Result<VerdictSettings, SettingError> {
        let (mut spans, table) = (SettingSpans::new("verdicts", parsed), parsed.get_ref());
        let defaults = VerdictSettings::DEFAULT;
        let (mut renew, mut ttl) = (defaults.renew, defaults.ttl);
        spans.apply_duration("renew", &table.renew, &mut renew);
        spans.apply_duration("ttl", &table.ttl, &mut ttl);
        if !(Duration::from_millis(100)..=Duration::from_secs(30)).contains(&renew) {
            return Err(spans.error_at("renew", "`renew` has to be 100ms to 30s"));
        }
        if ttl < renew * 3 || ttl > Duration::from_secs(120) {
            return Err(spans.error_at("ttl", "`ttl` has to be at least three times `renew`, and at most 2m"));
        }
        let mut fraction = |key, given: &Option<Spanned<f64>>, default: f64, min: f64, max: f64| {
            let value = spans.record(key, given).copied().unwrap_or(default);
            match (min..=max).contains(&value) {
                true => Ok(value),
                false => Err(spans.error_at(key, format!("`{key}` has to be {min} to {max}"))),
            }
        };
        let failed_fraction = fraction("fails", &table.fails, defaults.failed_fraction, 0.01, 1.0)?;
        let late_fraction = fraction("late", &table.late, defaults.late_fraction, 0.01, 1.0)?;
        let trickle = fraction("trickle", &table.trickle, f64::from(defaults.trickle) / 1000.0, 0.01, 0.5)?;
        let max_ejected_fraction = fraction("most", &table.most, defaults.max_ejected_fraction, 0.0, 0.5)?;
        let on = |w| Drill::enabled(&table.drill, w);
        let safeguards = Safeguards {
            evidence: on(DisabledSafeguard::Evidence),
            ejection_cap: on(DisabledSafeguard::Ration),
            reject_stale: on(DisabledSafeguard::Numbers),
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
    fn errors_point_at_the_setting() {
        let compile = |text: &str| {
            let file: File = toml::from_str(text).expect("valid TOML");
            VerdictTable::compile(&file.verdicts).map_err(|w| text.get(w.span).unwrap_or_default().to_owned())
        };
        assert_eq!(compile("[verdicts]").map(|t| (t.trickle, t.max_ejected_fraction)), Ok((50, 0.25)));
        for (setting, value) in [
            ("renew = \"1ms\"", "\"1ms\""),
            ("ttl = \"1s\"", "\"1s\""),
            ("most = 0.9", "0.9"),
            ("trickle = 0.0", "0.0"),
            ("fails = 2.0", "2.0"),
        ] {
            assert_eq!(compile(&format!("[verdicts]\n{setting}")), Err(value.to_owned()));
        }
    }
}

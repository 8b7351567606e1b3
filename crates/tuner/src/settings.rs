//! The `[tuner]` table of the operator's file.

use crate::tuner::TunerSettings;
use birchswitch_cluster_host::{HumanDuration, SettingError, SettingSpans};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The table as parsed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TunerTable {
    look: Option<Spanned<HumanDuration>>,
    ttl: Option<Spanned<HumanDuration>>,
    percentile: Option<Spanned<f64>>,
    trust: Option<Spanned<f64>>,
    drill: Option<TunerDrill>,
}

/// A fault that tests inject.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct TunerDrill {
    #[serde(default)]
    wrong: bool,
}

impl TunerTable {
    /// Validates the settings, each alone and together.
    pub fn compile(parsed: &Spanned<TunerTable>) -> Result<TunerSettings, SettingError> {
        let (mut spans, table) = (SettingSpans::new("tuner", parsed), parsed.get_ref());
        let defaults = TunerSettings::DEFAULT;
        let (mut interval, mut ttl) = (defaults.interval, defaults.ttl);
        spans.apply_duration("look", &table.look, &mut interval);
        spans.apply_duration("ttl", &table.ttl, &mut ttl);
        if !(Duration::from_millis(200)..=Duration::from_secs(60)).contains(&interval) {
            return Err(spans.error_at("look", "`look` has to be 200ms to 60s"));
        }
        if ttl < interval * 3 || ttl > Duration::from_secs(600) {
            return Err(spans.error_at("ttl", "`ttl` has to be at least three times `look`, and at most 10m"));
        }
        let percentile = spans
            .record("percentile", &table.percentile)
            .copied()
            .unwrap_or(100.0 * (1.0 - defaults.tail_fraction));
        if !(50.0..=99.99).contains(&percentile) {
            return Err(spans.error_at("percentile", "`percentile` has to be 50 to 99.99"));
        }
        let trust_region = spans.record("trust", &table.trust).copied().unwrap_or(defaults.trust_region);
        if !(0.01..=0.3).contains(&trust_region) {
            return Err(spans.error_at("trust", "`trust` has to be 0.01 to 0.3"));
        }
        let inverted_fit = table.drill.as_ref().is_some_and(|d| d.wrong);
        Ok(TunerSettings {
            interval,
            ttl,
            tail_fraction: 1.0 - percentile / 100.0,
            trust_region,
            inverted_fit,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Deserialize)]
    struct File {
        tuner: Spanned<TunerTable>,
    }

    #[test]
    fn errors_point_at_the_setting() {
        let compile = |text: &str| {
            let file: File = toml::from_str(text).expect("valid TOML");
            TunerTable::compile(&file.tuner).map_err(|w| text.get(w.span).unwrap_or_default().to_owned())
        };
        assert!(compile("[tuner]").is_ok_and(|t| (t.tail_fraction - 0.01).abs() < 1e-9));
        for (setting, value) in [
            ("look = \"1ms\"", "\"1ms\""),
            ("ttl = \"1s\"", "\"1s\""),
            ("percentile = 10.0", "10.0"),
            ("trust = 0.9", "0.9"),
        ] {
            assert_eq!(compile(&format!("[tuner]\n{setting}")), Err(value.to_owned()));
        }
    }
}

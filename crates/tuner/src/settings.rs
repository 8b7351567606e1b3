//! The `[tuner]` table of an operator's file.

use crate::tuner::TunerSettings;
use birchswitch_cluster_host::{HumanDuration, SettingError, SettingSpans};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The table as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TunerTable {
    look: Option<Spanned<HumanDuration>>,
    ttl: Option<Spanned<HumanDuration>>,
    percentile: Option<Spanned<f64>>,
    trust: Option<Spanned<f64>>,
    drill: Option<Drill>,
}

/// What tests plant.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Drill {
    #[serde(default)]
    wrong: bool,
}

impl TunerTable {
    /// Checks each setting by itself and beside the others.
    pub fn compile(written: &Spanned<TunerTable>) -> Result<TunerSettings, SettingError> {
        let (mut places, table) = (SettingSpans::new("tuner", written), written.get_ref());
        let usual = TunerSettings::DEFAULT;
        let (mut interval, mut ttl) = (usual.interval, usual.ttl);
        places.apply_duration("look", &table.look, &mut interval);
        places.apply_duration("ttl", &table.ttl, &mut ttl);
        if !(Duration::from_millis(200)..=Duration::from_secs(60)).contains(&interval) {
            return Err(places.error_at("look", "`look` has to be 200ms to 60s"));
        }
        if ttl < interval * 3 || ttl > Duration::from_secs(600) {
            return Err(
                places.error_at("ttl", "`ttl` has to be at least three times `look`, and at most 10m")
            );
        }
        let percentile = places
            .record("percentile", &table.percentile)
            .copied()
            .unwrap_or(100.0 * (1.0 - usual.tail_fraction));
        if !(50.0..=99.99).contains(&percentile) {
            return Err(places.error_at("percentile", "`percentile` has to be 50 to 99.99"));
        }
        let trust_region = places.record("trust", &table.trust).copied().unwrap_or(usual.trust_region);
        if !(0.01..=0.3).contains(&trust_region) {
            return Err(places.error_at("trust", "`trust` has to be 0.01 to 0.3"));
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
    fn mistakes_are_told_where_they_are() {
        let compile = |text: &str| {
            let file: File = toml::from_str(text).expect("its form is right");
            TunerTable::compile(&file.tuner).map_err(|w| text.get(w.span).unwrap_or_default().to_owned())
        };
        assert!(compile("[tuner]").is_ok_and(|t| (t.tail_fraction - 0.01).abs() < 1e-9));
        for (setting, place) in [
            ("look = \"1ms\"", "\"1ms\""),
            ("ttl = \"1s\"", "\"1s\""),
            ("percentile = 10.0", "10.0"),
            ("trust = 0.9", "0.9"),
        ] {
            assert_eq!(compile(&format!("[tuner]\n{setting}")), Err(place.to_owned()));
        }
    }
}

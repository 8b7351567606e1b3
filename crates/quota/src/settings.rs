//! The `[[limits]]` tables of the operator's file, and its `[quota]` table.

use crate::{Limit, Measure, QuotaTiming, Safeguards, Scope, WhenCut};
use birchswitch_cluster_host::{Drill, HumanDuration, SettingError, SettingSpans};
use birchswitch_site::Names;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;
use xxhash_rust::xxh3::Xxh3;

/// The most limits that a fleet may have.
const MAX_LIMITS: usize = 64;

/// A `[[limits]]` table as parsed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitTable {
    name: Spanned<String>,
    tenant: Option<Spanned<String>>,
    class: Option<Spanned<String>>,
    per_s: Option<Spanned<f64>>,
    burst: Option<Spanned<f64>>,
    in_flight: Option<Spanned<u32>>,
    when_cut: Option<Spanned<WhenCutSetting>>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WhenCutSetting {
    Strict,
    Share,
    Open,
}

/// The `[quota]` table as parsed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaTable {
    renew: Option<Spanned<HumanDuration>>,
    ttl: Option<Spanned<HumanDuration>>,
    transit: Option<Spanned<HumanDuration>>,
    drill: Option<Drill<DisabledSafeguard>>,
}

/// Safeguards that tests turn off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum DisabledSafeguard {
    Ends,
    Quarantine,
    Numbers,
}

/// The validated limits and their timing.
#[derive(Clone, Debug)]
pub struct QuotaSettings {
    /// The limits.
    pub limits: Vec<Limit>,
    /// How long grants last, and with which margins.
    pub timing: QuotaTiming,
}

impl QuotaSettings {
    /// Validates the tables against the names in the site's settings. `longest_request` is the longest deadline of any class; `lease` and
    /// `drift` are the ttl and the drift of the `[lease]` table.
    pub fn new(
        limits: &[Spanned<LimitTable>],
        table: Option<&Spanned<QuotaTable>>,
        names: &Names,
        (longest_request, lease, drift): (Duration, Duration, u32),
    ) -> Result<QuotaSettings, SettingError> {
        let timing = timing(table, longest_request, lease, drift)?;
        if let Some(more) = limits.get(MAX_LIMITS) {
            return Err(SettingError {
                span: more.span(),
                problem: format!("more than {MAX_LIMITS} limits"),
            });
        }
        let mut all: Vec<Limit> = Vec::new();
        for written in limits {
            let limit = limit(written, &timing, names)?;
            if all.iter().any(|l| l.name == limit.name) {
                let problem = format!("two limits are called {:?}", limit.name);
                return Err(SettingError { span: written.get_ref().name.span(), problem });
            }
            all.push(limit);
        }
        Ok(QuotaSettings { limits: all, timing })
    }
}

fn timing(
    table: Option<&Spanned<QuotaTable>>,
    longest_request: Duration,
    lease: Duration,
    drift: u32,
) -> Result<QuotaTiming, SettingError> {
    // Long enough that grants outlive the gap between a leader's death and its successor's term.
    let mut timing = QuotaTiming {
        renew: Duration::from_millis(400),
        ttl: (lease * 3 / 2).max(Duration::from_secs(2)),
        transit: Duration::from_millis(50),
        longest_request,
        drift,
        safeguards: Safeguards::ALL,
    };
    let Some(table) = table else { return Ok(timing) };
    let (mut spans, given) = (SettingSpans::new("quota", table), table.get_ref());
    spans.apply_duration("renew", &given.renew, &mut timing.renew);
    spans.apply_duration("ttl", &given.ttl, &mut timing.ttl);
    spans.apply_duration("transit", &given.transit, &mut timing.transit);
    if !(Duration::from_millis(50)..=Duration::from_secs(30)).contains(&timing.renew) {
        return Err(spans.error_at("renew", "`renew` has to be 50ms to 30s"));
    }
    if timing.ttl < timing.renew * 4 || timing.ttl > Duration::from_secs(300) {
        return Err(spans.error_at("ttl", "`ttl` has to be at least four times `renew`, and at most 5m"));
    }
    if timing.transit > Duration::from_secs(5) {
        return Err(spans.error_at("transit", "`transit` has to be at most 5s"));
    }
    let on = |w| Drill::enabled(&given.drill, w);
    timing.safeguards = Safeguards {
        expiry: on(DisabledSafeguard::Ends),
        quarantine: on(DisabledSafeguard::Quarantine),
        reject_stale: on(DisabledSafeguard::Numbers),
    };
    Ok(timing)
}

fn limit(written: &Spanned<LimitTable>, timing: &QuotaTiming, names: &Names) -> Result<Limit, SettingError> {
    let table = written.get_ref();
    let mut spans = SettingSpans::new("limits", written);
    let name = table.name.get_ref();
    if !(1..=64).contains(&name.len()) || !name.bytes().all(|b| b.is_ascii_graphic()) {
        let problem = "`name` has to be 1 to 64 visible ASCII characters".to_owned();
        return Err(SettingError { span: table.name.span(), problem });
    }
    let index = |given: &Option<Spanned<String>>, known: &[String], what: &str| match given {
        None => Ok(None),
        Some(given) => match known.iter().position(|k| k == given.get_ref()) {
            Some(at) => Ok(Some(at)),
            None => {
                let problem = format!("the site's settings name no {what} {:?}", given.get_ref());
                Err(SettingError { span: given.span(), problem })
            }
        },
    };
    let tenant = index(&table.tenant, &names.tenants, "tenant")?.map(|at| at as u16);
    let class = index(&table.class, &names.classes, "class")?.map(|at| at as u8);
    if tenant.is_none() && class.is_none() {
        return Err(spans.error_at("limits", "a limit is for a `tenant`, a `class`, or both"));
    }
    let per_s = spans.record("per_s", &table.per_s).copied();
    let burst = spans.record("burst", &table.burst).copied();
    let in_flight = spans.record("in_flight", &table.in_flight).copied();
    let measure = match (per_s, in_flight) {
        (Some(per_s), None) => {
            if !(1e-3..=1e7).contains(&per_s) {
                return Err(spans.error_at("per_s", "`per_s` has to be 0.001 to 10000000"));
            }
            let min_burst = per_s * timing.transit.as_secs_f64() + 1.0;
            let burst = burst.unwrap_or(min_burst.max(per_s));
            if !(min_burst..=1e9).contains(&burst) {
                let problem = format!(
                    "`burst` has to be at least {min_burst:.3}: one request, and what may be on its way within `transit`"
                );
                return Err(spans.error_at("burst", problem));
            }
            Measure::Rate { per_s, burst }
        }
        (None, Some(most)) if most > 0 && burst.is_none() => Measure::InFlight { most },
        (None, Some(0)) => return Err(spans.error_at("in_flight", "`in_flight` has to be at least 1")),
        _ => {
            let problem = "a limit is either `per_s`, with a `burst` if wanted, or `in_flight`";
            return Err(spans.error_at("limits", problem));
        }
    };
    let when_cut = match spans.record("when_cut", &table.when_cut) {
        None | Some(WhenCutSetting::Share) => WhenCut::Share,
        Some(WhenCutSetting::Strict) => WhenCut::Strict,
        Some(WhenCutSetting::Open) => WhenCut::Open,
    };
    let scope = Scope { tenant, class };
    let id = limit_id(table, &measure, timing);
    Ok(Limit { name: name.clone(), scope, measure, when_cut, id })
}

/// A hash of the limit's name and of every setting that must be the same on all nodes. A node with other settings requests another id, and
/// gets no grant. The `Debug` text of `measure` is part of it.
fn limit_id(table: &LimitTable, measure: &Measure, timing: &QuotaTiming) -> u64 {
    let name = |given: &Option<Spanned<String>>| given.as_ref().map(|g| g.get_ref().clone());
    let mut hash = Xxh3::new();
    let times = (timing.ttl, timing.transit, timing.longest_request, timing.drift);
    let text = format!(
        "{:?} {:?} {:?} {measure:?} {times:?}",
        table.name.get_ref(),
        name(&table.tenant),
        name(&table.class)
    );
    hash.update(text.as_bytes());
    hash.digest()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Deserialize)]
    struct File {
        #[serde(default)]
        limits: Vec<Spanned<LimitTable>>,
        quota: Option<Spanned<QuotaTable>>,
    }

    fn parse(text: &str) -> Result<QuotaSettings, String> {
        let file: File = toml::from_str(text).expect("valid TOML");
        let names = Names { classes: vec!["buy".into()], tenants: vec!["t".into()], ..Names::default() };
        let times = (Duration::from_secs(2), Duration::from_secs(2), 50);
        QuotaSettings::new(&file.limits, file.quota.as_ref(), &names, times)
            .map_err(|w| format!("{:?}: {}", text.get(w.span).unwrap_or_default(), w.problem))
    }

    #[test]
    fn defaults_and_explicit_settings_apply() {
        let c = parse("[[limits]]\nname = \"a\"\ntenant = \"t\"\nper_s = 100.0\n").expect("valid settings");
        assert_eq!(c.limits[0].measure, Measure::Rate { per_s: 100.0, burst: 100.0 });
        assert_eq!(c.limits[0].when_cut, WhenCut::Share);
        let text = "[quota]\nttl = \"4s\"\n[[limits]]\nname = \"b\"\nclass = \"buy\"\nin_flight = 5\nwhen_cut = \"strict\"";
        let c = parse(text).expect("valid settings");
        assert_eq!(
            (c.limits[0].measure, c.timing.ttl),
            (Measure::InFlight { most: 5 }, Duration::from_secs(4))
        );
        assert_eq!(c.limits[0].scope, Scope { tenant: None, class: Some(0) });
    }

    #[test]
    fn errors_point_at_the_setting() {
        let limit = |lines: &str| format!("[[limits]]\nname = \"a\"\n{lines}");
        for (text, place, problem) in [
            (limit("tenant = \"x\"\nper_s = 1.0"), "\"\\\"x\\\"\"", "no tenant"),
            (limit("class = \"x\"\nper_s = 1.0"), "\"\\\"x\\\"\"", "no class"),
            (limit("per_s = 1.0"), "\"[[limits]]", "for a `tenant`"),
            (limit("class = \"buy\""), "\"[[limits]]", "either `per_s`"),
            (limit("class = \"buy\"\nper_s = 1.0\nin_flight = 1"), "\"[[limits]]", "either `per_s`"),
            (limit("class = \"buy\"\nper_s = 0.0"), "\"0.0\"", "`per_s`"),
            (limit("class = \"buy\"\nin_flight = 0"), "\"0\"", "`in_flight`"),
            (limit("class = \"buy\"\nper_s = 100.0\nburst = 5.9"), "\"5.9\"", "at least 6.000"),
            ("[quota]\nttl = \"1s\"".to_owned(), "\"\\\"1s\\\"\"", "four times"),
            ("[quota]\nrenew = \"1ms\"".to_owned(), "\"\\\"1ms\\\"\"", "`renew`"),
        ] {
            let error = parse(&text).expect_err(&text);
            assert!(error.starts_with(place) && error.contains(problem), "{error}");
        }
        let twice = limit("class = \"buy\"\nper_s = 1.0\nburst = 2.0\n");
        let error = parse(&(twice.clone() + &twice)).expect_err("twice");
        assert!(error.contains("two limits"), "{error}");
    }
}

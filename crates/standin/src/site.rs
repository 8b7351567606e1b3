//! Sites that the stand-ins serve: a shop, and a clinic that differs in all settings, so that nothing is tuned to one
//! site only.

use crate::client::{Class, Idempotency};
use crate::fleet::{capacity, Plan};
use serde_json::{json, Value};
use std::time::Duration;

/// How long a cell remembers a key.
pub(crate) const REPEAT_WINDOW: Duration = Duration::from_secs(2);

/// A site: its classes, its tenants and what nodes can learn about its servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Site {
    /// A shop: cost hints, probes that report utilization, lists that the registry pushes.
    #[default]
    Shop,
    /// A clinic: no cost hints and no probes; responses report load, lists are requested, and tenants have quotas.
    Clinic,
}

impl Site {
    /// Name of the site.
    pub fn name(self) -> &'static str {
        match self {
            Site::Shop => "shop",
            Site::Clinic => "clinic",
        }
    }

    /// The site of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        [Site::Shop, Site::Clinic].into_iter().find(|site| site.name() == name)
    }

    /// Classes of the site.
    pub fn classes(self) -> Vec<Class> {
        let class = |name, idempotency, [promise, deadline]: [u64; 2], share| {
            let [promise, deadline] = [promise, deadline].map(Duration::from_millis);
            Class { name, idempotency, deadline, promise, share }
        };
        match self {
            Site::Shop => vec![
                class("browse", Idempotency::Safe, [350, 900], 0.35),
                class("gem-topup", Idempotency::Keyed, [350, 900], 0.20),
                class("item-buy", Idempotency::Unsafe, [350, 900], 0.45),
            ],
            Site::Clinic => vec![
                class("lookup", Idempotency::Safe, [200, 500], 0.55),
                class("book-slot", Idempotency::Keyed, [600, 1500], 0.30),
                class("dispense", Idempotency::Unsafe, [900, 1900], 0.15),
            ],
        }
    }

    /// Tenants of the site; orders are spread evenly over them.
    pub fn tenants(self) -> &'static [&'static str] {
        match self {
            Site::Shop => &["one"],
            Site::Clinic => &["ward", "desk", "labs"],
        }
    }

    /// Whether clients send the expected work of an order as a cost hint.
    pub fn sends_cost_hints(self) -> bool {
        self == Site::Shop
    }

    /// Settings in the nodes' configuration file.
    pub(crate) fn settings(self, plan: &Plan) -> Value {
        let ns = |d: Duration| d.as_nanos() as u64;
        let shop = self == Site::Shop;
        let profile = |c: &Class| {
            let effect = match c.idempotency {
                Idempotency::Safe => "free",
                Idempotency::Keyed => "guarded",
                Idempotency::Unsafe => "single_shot",
            };
            json!({"name": c.name, "effect": effect, "key_scope": "cell", "repeat_window_ns": ns(REPEAT_WINDOW),
                   "promise_ns": ns(c.promise), "deadline_ns": ns(c.deadline), "importance": 1.0})
        };
        let capacity = capacity(plan);
        let quota = match self {
            Site::Shop => 1e6,
            Site::Clinic => 0.5 * (plan.servers * plan.cores) as f64 / plan.work,
        };
        let tenant = |name: &&str| json!({"name": name, "quota_per_s": quota, "share": 1.0});
        let report = match self {
            Site::Shop => json!({"how": "pull", "fields": ["outstanding", "backlog", "utilization"]}),
            Site::Clinic => json!({"how": "piggyback", "fields": ["backlog", "outstanding"]}),
        };
        json!({
            "balancers": plan.nodes, "zone": 0, "zones": ["here"], "kinds": ["std"],
            "registry_mode": if shop { "automatic" } else { "subscribe" },
            "profiles": self.classes().iter().map(profile).collect::<Vec<_>>(),
            "tenants": self.tenants().iter().map(tenant).collect::<Vec<_>>(),
            "over_share_worth": 0.2,
            "limits": {"try_limit": if shop { 3 } else { 2 }, "conn_idle_ns": 15_000_000_000u64,
                       "connect_timeout_ns": 250_000_000u64, "may_cancel": true, "may_probe": shop,
                       "second_copies": shop, "retry_after": true, "max_retry_after_ns": 2_000_000_000u64},
            "report": report,
            "worth_by": if shop { "work" } else { "request" },
            "rules": {"ask_every_ns": if shop { 10_000_000_000u64 } else { 1_000_000_000 }, "cold_from": capacity.cold_from,
                      "drain_grace_ns": 1_000_000_000u64, "fall_multiple": capacity.fall_multiple,
                      "overload_for_ns": ns(capacity.fall_time), "warm_up_ns": ns(capacity.warm_up)}
        })
    }
}

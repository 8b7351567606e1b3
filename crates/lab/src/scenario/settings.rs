//! Converts a scenario to the settings of its nodes.

use super::{seconds, ClassSpec, EffectSpec, Scenario, Size, IDLE, TENANTS};
use finchvale::{Class, Effect, KeyScope, Prices, Reports, Rules, Settings, Tenant, ZoneId};

impl Scenario {
    /// The settings of a node.
    pub fn settings(&self, size: Size, node: u32) -> Settings {
        let class = |c: &ClassSpec| Class {
            effect: match c.effect {
                EffectSpec::Safe => Effect::Safe,
                EffectSpec::Unsafe => Effect::Unsafe,
                EffectSpec::KeyedCell => Effect::Keyed { scope: KeyScope::Cell, window: seconds(c.window()) },
                EffectSpec::KeyedAll => Effect::Keyed { scope: KeyScope::All, window: seconds(c.window()) },
            },
            aim: seconds(c.aim),
            aim_stretch: 0.0,
            deadline: seconds(c.deadline),
            worth: c.worth,
            late_worth: 0.0,
            streamed: false,
            zones: None,
            kinds: None,
        };
        let all = self.rate(size) / self.load * 0.85;
        Settings {
            nodes: size.nodes,
            node_index: Some(node),
            prices: Prices { probe: self.prices.probe, handshake: self.prices.handshake },
            zone: ZoneId((node % u32::from(self.network.halls)) as u8),
            zones: self.network.halls,
            classes: self.classes().iter().map(class).collect(),
            tenants: TENANTS.map(|part| Tenant { quota_per_s: part * all }).into(),
            over_share_worth: 0.2,
            worth_by_work: self.hints,
            use_listed_weights: !self.nodes.weights.is_empty(),
            reports: if self.reports.by_probe { Reports::ByProbe } else { Reports::WithAnswers },
            reports_rate: false,
            subscribe_to_lists: false,
            max_attempts: 3,
            may_cancel: true,
            may_probe: self.reports.by_probe,
            second_copies: true,
            conn_idle: seconds(IDLE),
            connect_timeout: seconds(0.25),
            max_retry_after: Some(seconds(2.0)),
            rules: Rules {
                drain_grace: seconds(1.0),
                cold_from: self.servers.cold_from,
                warm_up: seconds(self.servers.warm_up),
                fall_multiple: 3.0,
                fall_time: seconds(2.0),
                list_poll_interval: seconds(10.0),
            },
        }
    }
}

//! Checks the ranges of a scenario's values.

use super::{Scenario, ScenarioError};

impl Scenario {
    pub(super) fn check(&self) -> Result<(), ScenarioError> {
        let within = |key, value: f64, (low, high), wanted| {
            let fine = value >= low && value <= high;
            fine.then_some(()).ok_or(ScenarioError::OutOfRange { key, value, wanted })
        };
        let (part, some, time) = ((0.0, 1.0), (1e-6, 1e6), (0.0, 1e6));
        within("seconds", self.seconds, (1.0, 3600.0), "1 to 3600")?;
        within("load", self.load, (1e-3, 10.0), "0.001 to 10")?;
        for (key, value) in [("work", self.work), ("aim", self.aim), ("deadline", self.deadline)] {
            within(key, value, some, "seconds above 0")?;
        }
        for class in &self.class {
            within("class.share", class.share, some, "above 0")?;
            for (key, value) in
                [("class.work", class.work), ("class.aim", class.aim), ("class.deadline", class.deadline)]
            {
                within(key, value, some, "seconds above 0")?;
            }
            within("class.cv", class.cv, time, "0 or more")?;
            within("class.worth", class.worth, time, "0 or more")?;
        }
        within("servers.warm_up", self.servers.warm_up, some, "seconds above 0")?;
        within("reports.period", self.reports.period, some, "seconds above 0")?;
        for (key, value) in [
            ("unsafe_part", self.unsafe_part),
            ("servers.crowd_loss", self.servers.crowd_loss),
            ("servers.cold_from", self.servers.cold_from),
            ("nodes.unheard", self.nodes.unheard),
        ] {
            within(key, value, part, "0 to 1")?;
        }
        for (key, value) in [
            ("work_cv", self.work_cv),
            ("attempt_noise", self.attempt_noise),
            ("servers.speed_cv", self.servers.speed_cv),
            ("clients.backoff", self.clients.backoff),
            ("reports.delay", self.reports.delay),
            ("reports.probe_work", self.reports.probe_work),
            ("network.same", self.network.same),
            ("network.cross", self.network.cross),
            ("network.notice", self.network.notice),
            ("network.spread", self.network.spread),
            ("prices.probe", self.prices.probe),
            ("prices.handshake", self.prices.handshake),
            ("prices.cross", self.prices.cross),
            ("nodes.skew", self.nodes.skew),
        ] {
            within(key, value, time, "0 or more")?;
        }
        for weight in &self.nodes.weights {
            within("nodes.weights", *weight, (0.01, 100.0), "0.01 to 100")?;
        }
        for speed in &self.servers.speeds {
            within("servers.speeds", *speed, (0.01, 100.0), "0.01 to 100")?;
        }
        for cores in &self.servers.cores_each {
            within("servers.cores_each", *cores as f64, (1.0, 1024.0), "1 to 1024")?;
        }
        within("servers.cold_cache", self.servers.cold_cache, (0.0, 10.0), "0 to 10")?;
        within("servers.cores", self.servers.cores as f64, (1.0, 1024.0), "1 to 1024")?;
        within("servers.cell", f64::from(self.servers.cell), (1.0, 65535.0), "1 or more")?;
        within("network.halls", f64::from(self.network.halls), (1.0, 255.0), "1 to 255")?;
        for fault in &self.fault {
            within("fault.at", fault.at, time, "seconds, 0 or more")?;
            within("fault.until", fault.until, (fault.at, f64::INFINITY), "not before `at`")?;
            fault.kind.check(within)?;
        }
        Ok(())
    }
}

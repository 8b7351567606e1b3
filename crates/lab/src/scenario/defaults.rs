//! Default values of a scenario: a shop with one class that must never run twice.

use super::*;

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            what: String::new(),
            seconds: 30.0,
            load: 0.62,
            work: 0.1,
            work_cv: 0.65,
            attempt_noise: 0.3,
            unsafe_part: 0.82,
            aim: 0.352,
            deadline: 0.879,
            class: Vec::new(),
            hints: true,
            clients: Clients::default(),
            servers: Servers::default(),
            reports: ReportSpec::default(),
            network: Network::default(),
            nodes: NodeSpec::default(),
            prices: PriceSpec::default(),
            fault: Vec::new(),
        }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 0, backoff: 0.1, honour: true }
    }
}

impl Default for Servers {
    fn default() -> Self {
        Servers {
            cores: 1,
            cores_each: Vec::new(),
            speeds: Vec::new(),
            cold_cache: 0.0,
            queue: 8,
            speed_cv: 0.07,
            crowd_from: 16,
            crowd_loss: 0.24,
            cold_from: 0.12,
            warm_up: 21.0,
            cell: 6,
        }
    }
}

impl Default for ReportSpec {
    fn default() -> Self {
        ReportSpec { by_probe: true, period: 0.002, delay: 0.0, counts: false, probe_work: 0.00004 }
    }
}

impl Default for Network {
    fn default() -> Self {
        Network { halls: 5, same: 0.00014, cross: 0.00043, notice: 2.0, spread: 0.05, connect: false }
    }
}

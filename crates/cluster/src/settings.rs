//! Settings of the membership core.

use std::net::SocketAddr;
use std::time::Duration;

/// Intervals and limits of the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the cluster, 1 to 32 bytes. Datagrams of other clusters are dropped.
    pub cluster: String,
    /// Addresses used for joining. They need not be reachable yet.
    pub seeds: Vec<SocketAddr>,
    /// Interval between probes.
    pub probe: Duration,
    /// Timeout of a probe. After it the probe is sent once more, and after the same time again
    /// through relays. A round takes five timeouts.
    pub timeout: Duration,
    /// How long probes have to stay unanswered before a member may be declared dead, given enough
    /// witnesses. Shorter pauses of a member are tolerated.
    pub suspicion: Duration,
    /// Interval between table exchanges.
    pub exchange: Duration,
    /// How long dead members are still probed before they are forgotten.
    pub forget: Duration,
    /// Most members in the table, including this node.
    pub members: usize,
    /// Switches safeguards off, for comparison in the laboratory and for tests that need a worse
    /// protocol.
    pub without_safeguards: bool,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A text is empty, too long or has disallowed characters.
    #[error("`{0}` has to be 1 to {1} visible ASCII characters")]
    Text(&'static str, usize),
    /// A duration is out of range.
    #[error("`{0}` has to be {1}")]
    Time(&'static str, &'static str),
    /// A count is out of range.
    #[error("`{0}` has to be {1}")]
    Count(&'static str, &'static str),
}

impl Settings {
    /// The default settings: a death is detected after about 3.2 s, and a pause of 2 s is
    /// tolerated.
    pub fn new(cluster: impl Into<String>, seeds: Vec<SocketAddr>) -> Self {
        Settings {
            cluster: cluster.into(),
            seeds,
            probe: Duration::from_millis(400),
            timeout: Duration::from_millis(100),
            suspicion: Duration::from_millis(2500),
            exchange: Duration::from_secs(5),
            forget: Duration::from_secs(24 * 3600),
            members: 8192,
            without_safeguards: false,
        }
    }

    /// Checks each setting by itself and against the others.
    pub fn check(&self) -> Result<(), SettingsError> {
        let plain =
            |t: &str, limit| (1..=limit).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_graphic());
        let ms = Duration::from_millis;
        if !plain(&self.cluster, 32) {
            return Err(SettingsError::Text("name", 32));
        }
        if !(ms(100)..=ms(10_000)).contains(&self.probe) {
            return Err(SettingsError::Time("probe", "100ms to 10s"));
        }
        if self.timeout < ms(10) || self.timeout * 2 > self.probe {
            return Err(SettingsError::Time("timeout", "at least 10ms and at most half of `probe`"));
        }
        if self.suspicion < 4 * self.probe || self.suspicion > ms(120_000) {
            return Err(SettingsError::Time("suspicion", "at least four times `probe` and at most 2m"));
        }
        if !(ms(500)..=ms(300_000)).contains(&self.exchange) {
            return Err(SettingsError::Time("exchange", "500ms to 5m"));
        }
        if self.forget < 10 * self.suspicion {
            return Err(SettingsError::Time("forget", "at least ten times `suspicion`"));
        }
        if !(2..=65_536).contains(&self.members) {
            return Err(SettingsError::Count("members", "2 to 65536"));
        }
        if self.seeds.len() > 64 {
            return Err(SettingsError::Count("seeds", "at most 64 addresses"));
        }
        Ok(())
    }

    /// Total duration of a probe round: direct, once more, and through relays.
    pub(crate) fn round_duration(&self) -> Duration {
        self.timeout * 5
    }

    /// If an event is handled later than this after it was due, the process was stalled.
    pub(crate) fn stall_threshold(&self) -> Duration {
        self.timeout * 5 / 2
    }

    /// Number of witnesses required for a verdict in a fleet of the given size, including the node
    /// that declares it. Each witness has the confirmation of a relay besides its own failed
    /// probes.
    pub fn witnesses(&self, fleet: usize) -> usize {
        if self.without_safeguards {
            1
        } else {
            (fleet / 3).clamp(1, 3)
        }
    }
}

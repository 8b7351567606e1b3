//! What a member is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

/// Times and bounds of a member's work.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the cluster: datagrams of another are dropped. 1 to 32 bytes.
    pub cluster: String,
    /// Where others may be found, from nothing. Need not be there yet.
    pub seeds: Vec<SocketAddr>,
    /// From one probe to the next.
    pub probe: Duration,
    /// For a probe's answer; then it is sent once more, and after as long again through third nodes. A round takes five of these.
    pub timeout: Duration,
    /// Probes unanswered for so long make a verdict, with witnesses. Pauses shorter than this are borne.
    pub suspicion: Duration,
    /// From one comparison of tables to the next.
    pub exchange: Duration,
    /// After so long the dead are no longer asked, and forgotten.
    pub forget: Duration,
    /// Most members that are kept, oneself included.
    pub members: usize,
    /// What of its care a member lays off, for comparison in the laboratory and for tests that need a worse one.
    pub without_safeguards: bool,
}

/// Why settings make no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A text is too long, empty, or not of plain characters.
    #[error("`{0}` has to be 1 to {1} visible ASCII characters")]
    Text(&'static str, usize),
    /// A time lies outside what works.
    #[error("`{0}` has to be {1}")]
    Time(&'static str, &'static str),
    /// A count lies outside what works.
    #[error("`{0}` has to be {1}")]
    Count(&'static str, &'static str),
}

impl Settings {
    /// The settings that are meant for use: a death is known after about 3.2 s, a pause of 2 s is borne.
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

    /// Checks each by itself and beside the others.
    pub fn check(&self) -> Result<(), SettingsError> {
        let plain = |t: &str, most| (1..=most).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_graphic());
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

    /// Whole length of a probe's round: direct, once more and through third nodes.
    pub(crate) fn round(&self) -> Duration {
        self.timeout * 5
    }

    /// A handling that comes later than this after its time means that the process was held up.
    pub(crate) fn late(&self) -> Duration {
        self.timeout * 5 / 2
    }

    /// Witnesses that a verdict needs in a fleet of so many, the one that declares it included. Each has a third node's
    /// word beside its own.
    pub fn witnesses(&self, fleet: usize) -> usize {
        if self.without_safeguards {
            1
        } else {
            (fleet / 3).clamp(1, 3)
        }
    }
}

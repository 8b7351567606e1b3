//! The terms that voters and candidates share: the voters, the lease times and the assumed clock
//! drift.

use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// The terms of an electorate. All voters and candidates need the same ones, so their checksum
/// accompanies each request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Addresses of the voters: three, five or seven, each used by one process at a time.
    pub voters: Vec<SocketAddr>,
    /// How long a voter honours a grant, on its own clock.
    pub ttl: Duration,
    /// How much faster or slower than true time any clock may run, in thousandths.
    pub drift: u32,
    /// Timeout of an attempt.
    pub round: Duration,
    /// All enabled except in tests that demonstrate what each one prevents.
    pub safeguards: Safeguards,
}

/// Safeguards that the safety of leases rests on. Only tests switch them off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// A restarted voter grants nothing while its earlier grants may still be valid.
    pub abstention: bool,
    /// A holder ends its lease early by the amount that clocks may differ.
    pub margin: bool,
    /// More than half of the voters have to agree.
    pub majority: bool,
    /// A voter honours what it promised and accepted.
    pub promises: bool,
    /// Ballots have to be above the voter's floor.
    pub floor: bool,
}

impl Safeguards {
    /// All safeguards enabled.
    pub const ALL: Safeguards =
        Safeguards { abstention: true, margin: true, majority: true, promises: true, floor: true };
}

/// Why terms are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TermsError {
    /// The number of voters is even, too small or too large.
    #[error("`voters` has to name 3, 5 or 7 addresses, not {0}")]
    Voters(usize),
    /// An address is listed twice.
    #[error("`voters` names {0} twice")]
    Duplicate(SocketAddr),
    /// A duration is out of range.
    #[error("`{0}` has to be {1}")]
    Time(&'static str, &'static str),
}

impl Terms {
    /// The default terms: 10 s, and clocks accurate to 5%.
    pub fn new(voters: Vec<SocketAddr>) -> Self {
        let (ttl, round) = (Duration::from_secs(10), Duration::from_millis(500));
        Terms { voters, ttl, drift: 50, round, safeguards: Safeguards::ALL }
    }

    /// Checks each term by itself and against the others.
    pub fn check(&self) -> Result<(), TermsError> {
        if !matches!(self.voters.len(), 3 | 5 | 7) {
            return Err(TermsError::Voters(self.voters.len()));
        }
        let duplicate = self.voters.iter().enumerate().find(|(n, v)| self.voters[..*n].contains(v));
        if let Some((_, voter)) = duplicate {
            return Err(TermsError::Duplicate(*voter));
        }
        if self.ttl < Duration::from_secs(1) || self.ttl > Duration::from_secs(600) {
            return Err(TermsError::Time("ttl", "1s to 10m"));
        }
        if self.drift > 200 {
            return Err(TermsError::Time("drift", "at most 200 thousandths"));
        }
        if self.round < Duration::from_millis(20) || self.round * 4 > self.ttl {
            return Err(TermsError::Time("round", "at least 20ms and at most a quarter of `ttl`"));
        }
        Ok(())
    }

    /// Checksum over everything that has to be the same everywhere, regardless of the voters'
    /// order.
    pub fn checksum(&self) -> u64 {
        let mut voters: Vec<String> = self.voters.iter().map(SocketAddr::to_string).collect();
        voters.sort();
        let mut hash = Xxh3::new();
        voters.iter().for_each(|v| hash.update(v.as_bytes()));
        hash.update(&self.ttl.as_nanos().to_le_bytes());
        hash.update(&self.round.as_nanos().to_le_bytes());
        hash.update(&self.drift.to_le_bytes());
        hash.digest()
    }

    /// Number of voters that have to agree.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + usize::from(self.safeguards.majority)
    }

    /// How long a holder may use a lease, on its own clock and counted from before it sent the
    /// request. Allows for the slowest clock at the holder and the fastest at a voter.
    pub fn hold_time(&self) -> Duration {
        match self.safeguards.margin {
            true => self.ttl * (1000 - self.drift) / (1000 + self.drift),
            false => self.ttl,
        }
    }

    /// How long a restarted voter abstains: until no grant that it may have forgotten is in use,
    /// and no attempt in progress relies on a promise that it has forgotten. Allows for the fastest
    /// clock at the voter and the slowest elsewhere.
    pub fn abstention(&self) -> Duration {
        match self.safeguards.abstention {
            true => (self.ttl + self.round * 2) * (1000 + self.drift) / (1000 - self.drift),
            false => Duration::ZERO,
        }
    }
}

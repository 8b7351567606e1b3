//! What an electorate agreed on: who votes, for how long it grants, and what it trusts of clocks.

use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// The same for all voters and candidates: their sum travels with every question.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Where voters are. Three, five or seven, each an address that one process has at a time.
    pub voters: Vec<SocketAddr>,
    /// For how long a voter holds to a grant, by its own clock.
    pub ttl: Duration,
    /// How much faster or slower than true time any clock may run, in thousandths.
    pub drift: u32,
    /// A try that takes longer is given up.
    pub round: Duration,
    /// All on but in tests that show what each is for.
    pub safeguards: Safeguards,
}

/// What safety rests on, each to be taken away by tests alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// A voter that starts grants nothing while earlier grants may live.
    pub abstention: bool,
    /// A holder ends its lease by so much earlier as clocks may differ.
    pub margin: bool,
    /// More than half of the voters have to agree.
    pub majority: bool,
    /// A voter keeps to what it promised and accepted.
    pub promises: bool,
    /// Ballots have to be above the voter's floor.
    pub floor: bool,
}

impl Safeguards {
    /// All of them.
    pub const ALL: Safeguards =
        Safeguards { abstention: true, margin: true, majority: true, promises: true, floor: true };
}

/// Why terms make no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TermsError {
    /// An even number, too few or too many.
    #[error("`voters` has to name 3, 5 or 7 addresses, not {0}")]
    Voters(usize),
    /// One counts twice.
    #[error("`voters` names {0} twice")]
    Duplicate(SocketAddr),
    /// A time lies outside what works.
    #[error("`{0}` has to be {1}")]
    Time(&'static str, &'static str),
}

impl Terms {
    /// The terms that are meant for use: 10 s, clocks that are right to 5%.
    pub fn new(voters: Vec<SocketAddr>) -> Self {
        let (ttl, round) = (Duration::from_secs(10), Duration::from_millis(500));
        Terms { voters, ttl, drift: 50, round, safeguards: Safeguards::ALL }
    }

    /// Checks each by itself and beside the others.
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

    /// A sum over all that has to be the same everywhere; the voters' order does not count.
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

    /// Voters that have to agree.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + usize::from(self.safeguards.majority)
    }

    /// For how long a holder holds, by its own clock, from before it asked: its clock may be the slowest and a voter's the fastest.
    pub fn hold_time(&self) -> Duration {
        match self.safeguards.margin {
            true => self.ttl * (1000 - self.drift) / (1000 + self.drift),
            false => self.ttl,
        }
    }

    /// For how long a voter abstains after its start: until no grant that it may have forgotten is held, nor a try under way that counts
    /// on a promise that it has forgotten. Its clock may be the fastest and the others' the slowest.
    pub fn abstention(&self) -> Duration {
        match self.safeguards.abstention {
            true => (self.ttl + self.round * 2) * (1000 + self.drift) / (1000 - self.drift),
            false => Duration::ZERO,
        }
    }
}

//! Servers that are condemned, and how they are let in again: by what their trickle meets, not by silence.

use crate::detection::VerdictSettings;
use crate::evidence::{at, worst, OutlierKind};
use crate::outcomes::AttemptCounts;
use birchswitch_mesh::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// From the last that told against a server, until what its trickle meets opens it.
const REST: Duration = Duration::from_secs(3);
/// The same where its trickle meets nothing at all.
const UNHEARD: Duration = Duration::from_secs(30);
/// How much further it opens at each look after that.
const WIDER: f64 = 1.5;

/// What stands against one.
#[derive(Clone, Copy, Debug)]
struct Standing {
    fault: OutlierKind,
    /// When something told against it last.
    since: Time,
    /// How far it is open, in thousandths.
    open: u16,
    surely: f64,
}

/// See the module's words.
#[derive(Clone, Debug, Default)]
pub struct EjectionRecord(BTreeMap<u64, Standing>);

impl EjectionRecord {
    /// Something told against a server.
    pub(crate) fn condemn(&mut self, server: u64, fault: OutlierKind, since: Time, open: u16, surely: f64) {
        self.0.insert(server, Standing { fault, since, open, surely });
    }

    /// Opens further what rested long enough, and lets go of what is open. A server that fails whatever its trickle brings
    /// would come back for a while after each rest otherwise, to be met anew by all.
    pub(crate) fn open(&mut self, terms: &VerdictSettings, now: Time, reports: &[&[(u64, AttemptCounts)]]) {
        for (server, s) in &mut self.0 {
            // One node's word alone keeps a server shut no more than it condemns one.
            let worst = worst(s.fault, *server, reports);
            let others = reports.iter().enumerate().filter(|(n, _)| Some(*n) != worst);
            let met = others.fold(AttemptCounts::default(), |sum, (_, report)| sum.plus(at(*server, report)));
            let least =
                if s.fault == OutlierKind::Failing { terms.failed_fraction } else { terms.late_fraction };
            let bad = f64::from(s.fault.of(&met)) > least * f64::from(met.attempts);
            let rest = if met.attempts == 0 { UNHEARD } else { REST };
            if bad {
                s.since = now;
            } else if now >= s.since + rest {
                s.open = (f64::from(s.open) * WIDER).min(1000.0) as u16;
            }
        }
        self.0.retain(|_, s| s.open < 1000);
    }

    /// Servers, how far each is open, and how surely it does what it should not.
    pub(crate) fn all(&self) -> impl Iterator<Item = (u64, u16, f64)> + '_ {
        self.0.iter().map(|(server, s)| (*server, s.open, s.surely))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::detection::detect_outliers;

    const TERMS: VerdictSettings = VerdictSettings { max_ejected_fraction: 0.3, ..VerdictSettings::DEFAULT };

    /// Looks once a second at what three nodes met at server 1 and at a sound one, and says how far 1 is open after each.
    fn opens(seconds: std::ops::Range<u64>, met: [(u32, u32); 3], record: &mut EjectionRecord) -> Vec<u16> {
        let look = |second| {
            let report = |(attempts, failed)| {
                vec![
                    (1, AttemptCounts { attempts, failed, late: 0 }),
                    (2, AttemptCounts { attempts: 30, failed: 0, late: 0 }),
                ]
            };
            let reports = met.map(report);
            let reports: Vec<&[(u64, AttemptCounts)]> = reports.iter().map(Vec::as_slice).collect();
            let ejections = detect_outliers(&TERMS, record, Time::from_secs(second), 10, &reports);
            ejections.first().map_or(1000, |s| s.open)
        };
        seconds.map(look).collect()
    }

    /// At a trickle few nodes meet a server at a time: too few to condemn it anew, and no reason to let it in.
    #[test]
    fn what_its_trickle_fails_keeps_a_server_shut_and_what_it_serves_opens_it() {
        let mut record = EjectionRecord::default();
        assert_eq!(opens(0..1, [(9, 9); 3], &mut record), [50]);
        // Two nodes meet it still: without what tells most, one does.
        assert!(opens(1..20, [(1, 1), (1, 1), (0, 0)], &mut record).iter().all(|open| *open == 50));
        let served = opens(20..40, [(1, 0), (1, 0), (0, 0)], &mut record);
        assert_eq!((served[0], served[1], *served.last().expect("some")), (50, 50, 1000));
    }

    /// One node's bad road keeps nobody shut, and a trickle that meets nothing opens it in the end.
    #[test]
    fn one_nodes_word_keeps_nobody_shut_and_silence_not_for_ever() {
        let mut record = EjectionRecord::default();
        opens(0..1, [(9, 9); 3], &mut record);
        assert_eq!(opens(1..20, [(5, 5), (2, 0), (2, 0)], &mut record).last(), Some(&1000));
        opens(20..21, [(9, 9); 3], &mut record);
        let silent = opens(21..60, [(0, 0); 3], &mut record);
        assert_eq!((silent[27], *silent.last().expect("some")), (50, 1000));
    }
}

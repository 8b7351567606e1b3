//! What the keeper makes of a node's question: which entries are to be written, and what the node is told once they are.

use super::allotment::{keeps, targets, Needs, Terms};
use super::{Account, Book, Entry};
use crate::message::{AccountWord, Ask, Need};
use birchswitch_mesh::{Time, Who};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a keeper knows of processes that ask, beside the accounts.
#[derive(Debug, Default)]
pub struct Desk {
    lives: BTreeMap<Who, Life>,
    /// When it began: who has not been heard since counts as heard then.
    began: Time,
}

#[derive(Debug, Default)]
struct Life {
    heard: Time,
    needs: BTreeMap<String, Needs>,
}

/// Times, and safeguards that tests take away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// For how long parts may be used, by their nodes' clocks, from before they asked.
    pub ttl: Duration,
    /// The same at the keeper, with all that may still run after it.
    pub over: Duration,
    /// A part whose process is gone counts until somebody says what came of it.
    pub doubts: bool,
    /// A payment counts once by its id.
    pub ids: bool,
}

impl Desk {
    /// That of a keeper that begins now.
    pub fn new(now: Time) -> Self {
        Desk { lives: BTreeMap::new(), began: now }
    }

    /// Forgets processes that have not asked for long, and finds their parts that are in doubt from now on.
    pub fn doubts(&mut self, book: &mut Book, rules: &Rules, now: Time) -> Vec<Entry> {
        let heard = |who: &Who| self.lives.get(who).map_or(self.began, |l| l.heard);
        let mut entries = Vec::new();
        for (name, account) in &book.accounts {
            let parts = account.parts.iter().filter(|(_, p)| !p.doubt && now >= heard(&p.who) + rules.over);
            for (number, _) in parts {
                let (account, number) = (name.clone(), *number);
                entries.push(match rules.doubts {
                    true => Entry::Doubt { account, number },
                    false => Entry::Reclaim { account, number },
                });
            }
        }
        entries.iter().for_each(|e| book.apply(e));
        self.lives.retain(|_, l| now < l.heard + rules.over);
        entries
    }

    /// A process asks at a time by the keeper's clock and by the ledger's. Entries are taken up in the book already.
    pub fn ask(
        &mut self,
        book: &mut Book,
        (terms, rules): (&[Terms], &Rules),
        (now, time): (Time, u64),
        who: Who,
        ask: &Ask,
    ) -> (Vec<Entry>, Vec<AccountWord>) {
        let mut entries = Vec::new();
        let mut write = |book: &mut Book, entry: Entry| {
            book.apply(&entry);
            entries.push(entry);
        };
        let life = self.lives.entry(who).or_default();
        life.heard = now;
        let need = |n: &Need| Needs {
            per_s: f64::from(n.per_s),
            once: n.once,
            holds: n.holds.iter().map(|h| h.1).sum(),
        };
        life.needs = ask.needs.iter().map(|n| (n.account.clone(), need(n))).collect();
        if news(book, who, ask) {
            let (report, time) = (ask.report.clone(), time.max(book.time));
            write(book, Entry::Report { who, report, time });
        }
        for (account, number) in orphans(book, who, ask) {
            write(book, Entry::Reclaim { account, number });
        }
        let mut words = Vec::new();
        for need in &ask.needs {
            let Some(terms) = terms.iter().find(|t| t.account == need.account) else { continue };
            words.push(self.word(book, (terms, rules), now, who, ask.number, &mut write));
        }
        (entries, words)
    }

    fn word(
        &self,
        book: &mut Book,
        (terms, rules): (&Terms, &Rules),
        now: Time,
        who: Who,
        asked: u64,
        write: &mut impl FnMut(&mut Book, Entry),
    ) -> AccountWord {
        let name = &terms.account;
        // Borrowed: an account holds all its keys and payments.
        let is = |book: &Book, of: fn(&Account) -> bool| book.accounts.get(name).is_some_and(of);
        let free = |book: &Book| {
            let free = book.accounts.get(name).map_or(0, Account::balance) + i128::from(terms.overdraft);
            u64::try_from(free.max(0)).unwrap_or(u64::MAX)
        };
        let least = terms.prices.least();
        let lives: Vec<(&Who, Needs)> = self
            .lives
            .iter()
            .filter(|(_, l)| now < l.heard + rules.ttl)
            .filter_map(|(who, l)| Some((who, *l.needs.get(name)?)))
            .collect();
        // What nodes last said that they hold leaves out parts on their way and requests in hand, which may come back.
        let outstanding = book.accounts.get(name).map_or(0, Account::outstanding);
        let (have, paused) = (free(book), is(book, |a| a.paused));
        if paused && have >= terms.resume.max(least) {
            write(book, Entry::Pause { account: name.clone(), paused: false });
        } else if !paused && have < least && outstanding < least {
            write(book, Entry::Pause { account: name.clone(), paused: true });
        }
        let (paused, frozen) = (is(book, |a| a.paused), is(book, |a| a.frozen));
        let needs: Vec<Needs> = lives.iter().map(|l| l.1).collect();
        let targets = targets(terms, have, &needs);
        let own = lives.iter().position(|l| *l.0 == who);
        let (target, need) = own.map_or((0, Needs::default()), |n| (targets[n], needs[n]));
        let lacks: u64 = needs.iter().zip(&targets).map(|(n, t)| t.saturating_sub(n.holds)).sum();
        let keep = if frozen { 0 } else { keeps(target, &need, lacks > have) };
        let mut word = AccountWord { account: name.clone(), part: None, keep, paused, frozen };
        let units = target.saturating_sub(need.holds).min(have);
        if units > 0 && !paused && !frozen {
            let number = book.next;
            write(book, Entry::Draw { account: name.clone(), number, who, units, asked });
            word.part = Some((number, units));
            word.keep = keep.max(need.holds) + units;
        }
        word
    }
}

/// Whether a report says something that is not in the ledger.
fn news(book: &Book, who: Who, ask: &Ask) -> bool {
    let known = book.reports.get(&who).map_or(0, |r| r.0);
    let keys = !ask.report.keys.is_empty() && ask.report.number > known;
    let parts = ask.report.parts.iter().any(|p| {
        let part = book.accounts.get(&p.account).and_then(|a| a.parts.get(&p.number));
        part.is_some_and(|part| p.closed || p.spent > part.spent || p.back > part.back || part.doubt)
    });
    keys || parts
}

/// Parts that a process never got: it asks after the question that they answered, without them.
fn orphans(book: &Book, who: Who, ask: &Ask) -> Vec<(String, u64)> {
    let known = |number: &u64| ask.report.parts.iter().any(|p| p.number == *number);
    let mut orphans = Vec::new();
    for (name, account) in &book.accounts {
        let lost = account.parts.iter().filter(|(n, p)| p.who == who && p.asked < ask.number && !known(n));
        orphans.extend(lost.map(|(n, _)| (name.clone(), *n)));
    }
    orphans
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::account::{PartReport, Report};
    use crate::price::Prices;
    use birchswitch_cluster::{Life as Process, MemberId};

    const RULES: Rules =
        Rules { ttl: Duration::from_secs(2), over: Duration::from_secs(4), doubts: true, ids: true };

    fn terms() -> Vec<Terms> {
        let prices = Prices { classes: vec![1, 5], per_ms: 0 };
        let ahead = Duration::from_secs(2);
        vec![Terms { account: "t".into(), prices, overdraft: 0, low: 100, resume: 10, ahead }]
    }

    fn who(n: u64) -> Who {
        Who { id: MemberId(n), life: Process::default() }
    }

    fn s(s: u64) -> Time {
        Time::from_secs(s)
    }

    fn ask(number: u64, per_s: f32, once: u64, holds: &[(u64, u64)], parts: &[(u64, u64, u64)]) -> Ask {
        let part = |(number, spent, back): &(u64, u64, u64)| PartReport {
            account: "t".into(),
            number: *number,
            spent: *spent,
            back: *back,
            closed: false,
        };
        let report = Report { number, parts: parts.iter().map(part).collect(), keys: Vec::new() };
        let need = Need { account: "t".into(), per_s, once, holds: holds.to_vec() };
        Ask { number, heard: 0, report, needs: vec![need] }
    }

    fn paid(units: u64) -> Book {
        let mut book = Book::default();
        book.apply(&Entry::TopUp { account: "t".into(), id: "a".into(), units });
        book
    }

    fn told(desk: &mut Desk, book: &mut Book, now: u64, n: u64, ask: &Ask) -> AccountWord {
        let (_, words) = desk.ask(book, (&terms(), &RULES), (s(now), now * 1000), who(n), ask);
        words.into_iter().next().expect("a word")
    }

    #[test]
    fn a_node_gets_what_lasts_ahead_and_what_it_never_got_is_taken_back() {
        let (mut desk, mut book) = (Desk::new(s(0)), paid(1000));
        let first = told(&mut desk, &mut book, 1, 1, &ask(1, 10.0, 1, &[], &[]));
        assert_eq!(first.part, Some((0, 20)));
        // The answer was lost: it asks again, without the part.
        let again = told(&mut desk, &mut book, 2, 1, &ask(2, 10.0, 1, &[], &[]));
        assert_eq!(again.part, Some((1, 20)));
        assert_eq!(book.accounts["t"].balance(), 980);
        // A question that was on the way for long is answered without taking back what came after it.
        told(&mut desk, &mut book, 2, 1, &ask(1, 10.0, 1, &[], &[]));
        assert!(book.accounts["t"].parts.contains_key(&1));
    }

    #[test]
    fn the_last_units_are_collected_from_idle_nodes_for_one_that_can_use_them() {
        let (mut desk, mut book) = (Desk::new(s(0)), paid(8));
        let idle = told(&mut desk, &mut book, 1, 1, &ask(1, 4.0, 1, &[], &[]));
        let (number, units) = idle.part.expect("a part");
        assert_eq!(units, 4);
        let wants = told(&mut desk, &mut book, 1, 2, &ask(1, 5.0, 5, &[], &[]));
        let got = wants.part.map_or(0, |p| p.1);
        assert!(got < 5, "the rest lies with the other: {wants:?}");
        let back = told(&mut desk, &mut book, 2, 1, &ask(2, 0.0, 0, &[(number, 4)], &[(number, 0, 0)]));
        assert_eq!((back.keep, back.part), (0, None));
        told(&mut desk, &mut book, 3, 1, &ask(3, 0.0, 0, &[], &[(number, 0, 4)]));
        let holds: Vec<(u64, u64)> = wants.part.into_iter().collect();
        let parts: Vec<_> = holds.iter().map(|h| (h.0, 0, 0)).collect();
        let more = told(&mut desk, &mut book, 3, 2, &ask(2, 5.0, 5, &holds, &parts));
        assert!(got + more.part.map_or(0, |p| p.1) >= 5, "{more:?}");
    }

    #[test]
    fn it_pauses_when_nothing_is_left_anywhere_and_goes_on_from_enough() {
        let (mut desk, mut book) = (Desk::new(s(0)), paid(2));
        let (number, units) =
            told(&mut desk, &mut book, 1, 1, &ask(1, 9.0, 1, &[], &[])).part.expect("a part");
        let (mut got, mut parts) = (units, vec![(number, units, 0)]);
        for n in 2..6 {
            let word = told(&mut desk, &mut book, 1, 1, &ask(n, 9.0, 1, &[], &parts));
            parts.extend(word.part.map(|p| (p.0, p.1, 0)));
            got += word.part.map_or(0, |p| p.1);
        }
        assert_eq!(got, 2);
        let out = told(&mut desk, &mut book, 2, 1, &ask(6, 9.0, 1, &[], &parts));
        assert!(out.paused && out.part.is_none());
        book.apply(&Entry::TopUp { account: "t".into(), id: "b".into(), units: 9 });
        assert!(told(&mut desk, &mut book, 3, 1, &ask(7, 9.0, 1, &[], &parts)).paused, "not enough");
        book.apply(&Entry::TopUp { account: "t".into(), id: "c".into(), units: 1 });
        let on = told(&mut desk, &mut book, 4, 1, &ask(8, 9.0, 1, &[], &parts));
        assert!(!on.paused && on.part.is_some());
    }

    /// A paused account goes on only from `resume` units: whatever comes back after an early pause could not be spent.
    #[test]
    fn it_does_not_pause_while_the_last_units_are_on_their_way() {
        let (mut desk, mut book) = (Desk::new(s(0)), paid(1));
        let lost = told(&mut desk, &mut book, 1, 1, &ask(1, 9.0, 1, &[], &[]));
        assert_eq!(lost.part, Some((0, 1)));
        let other = told(&mut desk, &mut book, 1, 2, &ask(1, 9.0, 1, &[], &[]));
        assert_eq!((other.paused, other.part), (false, None));
        // The first node's answer was lost: it asks again, without the part, and gets the unit once more.
        let again = told(&mut desk, &mut book, 2, 1, &ask(2, 9.0, 1, &[], &[]));
        assert_eq!((again.paused, again.part), (false, Some((1, 1))));
        let spent = told(&mut desk, &mut book, 3, 1, &ask(3, 9.0, 1, &[], &[(1, 1, 0)]));
        assert_eq!((spent.paused, spent.part), (true, None));
    }

    #[test]
    fn a_part_whose_process_is_gone_is_in_doubt_and_not_before_its_time() {
        let (mut desk, mut book) = (Desk::new(s(0)), paid(100));
        let (_, units) = told(&mut desk, &mut book, 1, 1, &ask(1, 10.0, 1, &[], &[])).part.expect("a part");
        assert_eq!(desk.doubts(&mut book, &RULES, s(4)), []);
        assert_eq!(desk.doubts(&mut book, &RULES, s(5)).len(), 1);
        assert_eq!(
            (book.accounts["t"].in_doubt(), book.accounts["t"].balance()),
            (units, 100 - i128::from(units))
        );
        assert_eq!(desk.doubts(&mut book, &RULES, s(9)), [], "once");
    }
}

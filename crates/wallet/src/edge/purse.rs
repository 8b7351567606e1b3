//! What a node may spend of each account, and what its requests spent. Used by the node's own thread alone.

use crate::account::allotment::Terms;
use crate::account::{KeyDebit, PartReport, Report};
use crate::message::{Ask, Need, Word};
use birchswitch_mesh::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Keys whose debits wait to be told, at the most; beyond it requests with keys are turned away.
const KEYS: usize = 50_000;
/// Of these, so many go with one report.
const KEYS_TOLD: usize = 4_000;
/// Seconds over which what is asked for is smoothed.
const SMOOTH: f64 = 1.0;

/// Why a request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// The balance has run out.
    Paused,
    /// An operator stopped the account.
    Frozen,
    /// This node holds nothing of the balance now.
    NoPart,
}

/// What a request took, to be settled by its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reserved {
    account: usize,
    takes: Vec<(u64, u64)>,
    key: Option<KeyDebit>,
}

/// A part of a balance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    number: u64,
    units: u64,
    spent: u64,
    back: u64,
    reserved: u64,
    until: Time,
    /// Requests may take from it.
    open: bool,
}

impl Held {
    fn left(&self) -> u64 {
        self.units - self.spent - self.back - self.reserved
    }
}

#[derive(Clone, Debug)]
struct Mine {
    terms: Terms,
    /// For how long each class's keys count, in milliseconds.
    windows: Vec<u64>,
    parts: Vec<Held>,
    /// Units asked for since the last report, and a second, smoothed.
    came: u64,
    per_s: f64,
    once: u64,
    paused: bool,
    frozen: bool,
    spent: u64,
    turned: u64,
}

/// See the module's words.
#[derive(Debug)]
pub struct Purse {
    ttl: Duration,
    accounts: Vec<Mine>,
    /// Each tenant's account.
    tenants: Vec<Option<usize>>,
    asked: u64,
    heard: u64,
    looked: Option<Time>,
    /// The report whose keys are not in the ledger yet, and those that wait for the next.
    telling: (u64, Vec<KeyDebit>),
    keys: VecDeque<KeyDebit>,
    /// Parts that were told as closed by the question that is out.
    closing: Vec<u64>,
    /// Nothing more is taken: what still comes is given back.
    closed: bool,
    /// Questions asked when it closed. What was granted to one of them and never heard of is reclaimed by the next question.
    asked_open: u64,
    /// A later one was answered.
    farewell_heard: bool,
}

impl Purse {
    /// Holds nothing yet. `tenants` are the settings' names, `windows` the classes' windows for keys.
    pub fn new(terms: &[Terms], tenants: &[String], windows: &[Duration], ttl: Duration) -> Self {
        let mine = |terms: &Terms| Mine {
            terms: terms.clone(),
            windows: windows.iter().map(|w| w.as_millis() as u64).collect(),
            parts: Vec::new(),
            came: 0,
            per_s: 0.0,
            once: 0,
            paused: false,
            frozen: false,
            spent: 0,
            turned: 0,
        };
        Purse {
            ttl,
            accounts: terms.iter().map(mine).collect(),
            tenants: tenants.iter().map(|t| terms.iter().position(|a| a.account == *t)).collect(),
            asked: 0,
            heard: 0,
            looked: None,
            telling: (0, Vec::new()),
            keys: VecDeque::new(),
            closing: Vec::new(),
            closed: false,
            asked_open: 0,
            farewell_heard: false,
        }
    }

    /// Takes a request's price; none: it costs nothing.
    pub fn reserve(
        &mut self,
        now: Time,
        (tenant, class): (u16, u8),
        key: Option<u64>,
        work: Option<Duration>,
    ) -> Result<Option<Reserved>, Turned> {
        let Some(account) = self.tenants.get(usize::from(tenant)).copied().flatten() else { return Ok(None) };
        let full = key.is_some() && self.keys.len() + self.telling.1.len() >= KEYS;
        let mine = &mut self.accounts[account];
        let price = mine.terms.prices.of(class, work);
        if price == 0 {
            return Ok(None);
        }
        mine.came = mine.came.saturating_add(price);
        let open = |p: &&mut Held| p.open && now < p.until;
        let left: u64 = mine.parts.iter_mut().filter(open).map(|p| p.left()).sum();
        if mine.frozen || left < price || full {
            mine.turned += 1;
            mine.once = mine.once.max(price);
            return Err(match (mine.frozen, mine.paused) {
                (true, _) => Turned::Frozen,
                (false, true) => Turned::Paused,
                (false, false) => Turned::NoPart,
            });
        }
        let (mut takes, mut rest) = (Vec::new(), price);
        for part in mine.parts.iter_mut().filter(open) {
            let take = part.left().min(rest);
            if take > 0 {
                part.reserved += take;
                rest -= take;
                takes.push((part.number, take));
            }
        }
        let window = mine.windows.get(usize::from(class)).copied().unwrap_or_default();
        let name = || mine.terms.account.clone();
        let key = key.map(|hash| KeyDebit { account: name(), hash, units: price, window });
        Ok(Some(Reserved { account, takes, key }))
    }

    /// A request has ended: it is debited if it ran, or may have, and else costs nothing.
    pub fn settle(&mut self, reserved: Reserved, ran: bool) {
        let mine = &mut self.accounts[reserved.account];
        for (number, units) in reserved.takes {
            if let Some(part) = mine.parts.iter_mut().find(|p| p.number == number) {
                part.reserved -= units.min(part.reserved);
                if ran {
                    part.spent += units;
                    mine.spent += units;
                }
            }
        }
        self.keys.extend(reserved.key.filter(|_| ran));
    }

    /// Debits once more what was reserved: only a planted mistake does, for each attempt beyond the first.
    pub fn debit_again(&mut self, reserved: &Reserved) {
        let mine = &mut self.accounts[reserved.account];
        for (number, units) in &reserved.takes {
            if let Some(part) = mine.parts.iter_mut().find(|p| p.number == *number && p.left() >= *units) {
                part.spent += units;
                mine.spent += units;
            }
        }
    }

    /// What is to be asked and told now; none: no account has traffic, and there is nothing to tell.
    pub fn ask(&mut self, now: Time) -> Option<Ask> {
        let seconds = self.looked.map_or(0.25, |at| now.saturating_sub(at).as_secs_f64()).max(1e-3);
        self.looked = Some(now);
        let (mut needs, mut parts) = (Vec::new(), Vec::new());
        self.closing.clear();
        for mine in &mut self.accounts {
            if self.closed {
                (mine.came, mine.per_s, mine.once) = (0, 0.0, 0);
            }
            let rate = std::mem::take(&mut mine.came) as f64 / seconds;
            mine.per_s += (rate - mine.per_s) * (1.0 - (-seconds / SMOOTH).exp());
            if mine.per_s < 0.01 {
                mine.per_s = 0.0;
            }
            for part in &mut mine.parts {
                part.open &= now < part.until;
                let closed = part.reserved == 0 && (!part.open || part.units == part.spent + part.back);
                part.open &= !closed;
                let (account, number) = (mine.terms.account.clone(), part.number);
                parts.push(PartReport { account, number, spent: part.spent, back: part.back, closed });
                if closed {
                    self.closing.push(part.number);
                }
            }
            let once = std::mem::take(&mut mine.once);
            if mine.per_s > 0.0 || once > 0 || !mine.parts.is_empty() {
                let open = mine.parts.iter().filter(|p| p.open);
                let holds = open.map(|p| (p.number, p.left())).collect();
                let account = mine.terms.account.clone();
                needs.push(Need { account, per_s: mine.per_s as f32, once, holds });
            }
        }
        if self.telling.1.is_empty() && !self.keys.is_empty() {
            let most = self.keys.len().min(KEYS_TOLD);
            self.telling = (self.telling.0 + 1, self.keys.drain(..most).collect());
        }
        if needs.is_empty() && parts.is_empty() && self.telling.1.is_empty() && !self.owes_farewell() {
            return None;
        }
        self.asked += 1;
        let report = Report { number: self.telling.0, parts, keys: self.telling.1.clone() };
        Some(Ask { number: self.asked, heard: self.heard, report, needs })
    }

    /// Takes up the answer to a question that was asked at that time. Answers to earlier ones, and lower tokens, count for nothing.
    pub fn apply(&mut self, asked: Time, ask: &Ask, word: &Word) {
        if ask.number != self.asked || word.token < self.heard {
            return;
        }
        self.heard = word.token;
        self.farewell_heard |= self.closed && ask.number > self.asked_open;
        if word.report >= self.telling.0 {
            self.telling.1.clear();
        }
        let (closing, until) = (std::mem::take(&mut self.closing), asked + self.ttl);
        for mine in &mut self.accounts {
            mine.parts.retain(|p| !closing.contains(&p.number));
            let Some(told) = word.accounts.iter().find(|a| a.account == mine.terms.account) else { continue };
            (mine.paused, mine.frozen) = (told.paused, told.frozen);
            mine.parts.iter_mut().filter(|p| p.open).for_each(|p| p.until = p.until.max(until));
            if let Some((number, units)) = told.part {
                let new = Held { number, units, spent: 0, back: 0, reserved: 0, until, open: !self.closed };
                mine.parts.push(new);
            }
            let mut over = mine.parts.iter().map(Held::left).sum::<u64>().saturating_sub(told.keep);
            for part in mine.parts.iter_mut().filter(|p| p.open) {
                let back = part.left().min(over);
                part.back += back;
                over -= back;
            }
        }
    }

    /// Takes nothing more from what it holds: all that is not spent is told as given back.
    pub fn close(&mut self) {
        self.closed = true;
        self.asked_open = self.asked;
        self.accounts.iter_mut().flat_map(|m| &mut m.parts).for_each(|p| p.open = false);
    }

    /// Whether there are parts of which the ledger does not know that they are over, or debits that it does not know.
    pub fn holds(&self) -> bool {
        let debits = !self.keys.is_empty() || !self.telling.1.is_empty();
        debits || self.owes_farewell() || self.accounts.iter().any(|m| !m.parts.is_empty())
    }

    /// Whether the keeper may have granted units, in answer to a question from before the close, that nobody knows of here.
    fn owes_farewell(&self) -> bool {
        self.closed && self.asked_open > 0 && !self.farewell_heard
    }

    /// Whether a request was turned away for want of units since the last question: there is reason to ask at once.
    pub fn short(&self) -> bool {
        self.accounts.iter().any(|m| m.once > 0 && !m.paused && !m.frozen)
    }

    /// Each account's name, units held and not spent, units spent here, and requests turned away here.
    pub fn totals(&self) -> impl Iterator<Item = (String, u64, u64, u64)> + '_ {
        self.accounts.iter().map(|m| {
            let left = m.parts.iter().filter(|p| p.open).map(Held::left).sum();
            (m.terms.account.clone(), left, m.spent, m.turned)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::AccountWord;
    use crate::price::Prices;

    fn purse() -> Purse {
        let prices = Prices { classes: vec![1, 5, 0], per_ms: 0 };
        let ahead = Duration::from_secs(2);
        let terms = Terms { account: "t".into(), prices, overdraft: 0, low: 9, resume: 9, ahead };
        let names = ["other".to_owned(), "t".to_owned()];
        Purse::new(&[terms], &names, &[Duration::from_secs(10); 3], Duration::from_secs(2))
    }

    fn ms(ms: u64) -> Time {
        Time::from_millis(ms)
    }

    fn gets(p: &mut Purse, now: u64, part: Option<(u64, u64)>, keep: u64) -> Ask {
        let ask = p.ask(ms(now)).expect("something to say");
        let account = AccountWord { account: "t".into(), part, keep, paused: false, frozen: false };
        let word = Word { token: 1, report: ask.report.number, accounts: vec![account] };
        p.apply(ms(now), &ask, &word);
        ask
    }

    fn order(p: &mut Purse, now: u64, class: u8) -> Result<Option<Reserved>, Turned> {
        p.reserve(ms(now), (1, class), None, None)
    }

    #[test]
    fn requests_take_their_price_and_settle_by_whether_they_ran() {
        let mut p = purse();
        assert_eq!(p.reserve(ms(0), (0, 0), None, None), Ok(None), "a tenant without an account");
        assert_eq!(order(&mut p, 0, 2), Ok(None), "a class that costs nothing");
        assert_eq!(order(&mut p, 0, 0), Err(Turned::NoPart));
        gets(&mut p, 0, Some((7, 6)), 6);
        let five = order(&mut p, 1, 1).expect("room").expect("it costs");
        assert_eq!(order(&mut p, 1, 1), Err(Turned::NoPart));
        let one = order(&mut p, 1, 0).expect("room").expect("it costs");
        p.settle(five, false);
        p.settle(one, true);
        assert!(order(&mut p, 2, 1).is_ok(), "what never ran was given back");
        let told = &p.ask(ms(3)).expect("a report").report.parts[0];
        assert_eq!((told.number, told.spent, told.closed), (7, 1, false));
    }

    #[test]
    fn a_request_spans_parts_and_a_part_ends_by_time_with_what_runs_told_later() {
        let mut p = purse();
        let _ = order(&mut p, 0, 0);
        gets(&mut p, 0, Some((1, 3)), 3);
        gets(&mut p, 100, Some((2, 2)), 5);
        let five = order(&mut p, 200, 1).expect("room").expect("it costs");
        assert_eq!(order(&mut p, 2500, 0), Err(Turned::NoPart));
        let ask = p.ask(ms(2500)).expect("a report");
        assert!(ask.report.parts.iter().all(|part| !part.closed), "one runs still");
        p.settle(five, true);
        let ask = p.ask(ms(2600)).expect("a report");
        let told: Vec<_> = ask.report.parts.iter().map(|p| (p.number, p.spent, p.closed)).collect();
        assert_eq!(told, [(1, 3, true), (2, 2, true)]);
        p.apply(ms(2600), &ask, &Word { token: 1, report: ask.report.number, accounts: Vec::new() });
        assert!(p.ask(ms(2700)).is_none_or(|ask| ask.report.parts.is_empty()), "what was taken up is gone");
    }

    #[test]
    fn an_answer_to_an_earlier_question_or_of_a_lower_token_counts_for_nothing() {
        let mut p = purse();
        let _ = order(&mut p, 0, 0);
        let early = p.ask(ms(0)).expect("a question");
        let _ = order(&mut p, 0, 0);
        let late = p.ask(ms(10)).expect("a question");
        let account =
            AccountWord { account: "t".into(), part: Some((1, 9)), keep: 9, ..AccountWord::default() };
        let word = |token| Word { token, report: 0, accounts: vec![account.clone()] };
        p.apply(ms(0), &early, &word(2));
        assert_eq!(order(&mut p, 11, 0), Err(Turned::NoPart));
        p.apply(ms(10), &late, &Word { token: 2, report: 0, accounts: Vec::new() });
        p.apply(ms(10), &late, &word(1));
        assert_eq!(order(&mut p, 11, 0), Err(Turned::NoPart));
    }

    #[test]
    fn what_is_recalled_is_given_back_and_not_what_is_reserved() {
        let mut p = purse();
        let _ = order(&mut p, 0, 0);
        gets(&mut p, 0, Some((1, 10)), 10);
        let five = order(&mut p, 1, 1).expect("room").expect("it costs");
        gets(&mut p, 2, None, 1);
        let told = p.ask(ms(3)).expect("a report").report.parts[0].clone();
        assert_eq!((told.spent, told.back), (0, 4));
        p.settle(five, true);
        assert!(order(&mut p, 4, 0).is_ok() && order(&mut p, 4, 0).is_err());
    }

    /// A question is out when the node ends: what it is granted would be in doubt if no later question were answered.
    #[test]
    fn a_grant_under_way_at_the_close_is_waited_for() {
        let mut p = purse();
        assert!(!p.holds(), "nothing was ever asked");
        let _ = order(&mut p, 0, 0);
        let out = p.ask(ms(0)).expect("a question");
        p.close();
        assert!(p.holds(), "its answer may hold a part");
        let farewell = p.ask(ms(1)).expect("a last question");
        let part = AccountWord { account: "t".into(), part: Some((1, 9)), ..AccountWord::default() };
        p.apply(ms(0), &out, &Word { token: 1, report: 0, accounts: vec![part] });
        assert!(p.holds(), "an answer to an earlier question says nothing");
        p.apply(ms(1), &farewell, &Word { token: 1, report: 0, accounts: Vec::new() });
        assert!(!p.holds());
        assert_eq!(p.ask(ms(2)), None);
    }

    #[test]
    fn keys_are_told_until_they_are_in_the_ledger_and_once() {
        let mut p = purse();
        let _ = order(&mut p, 0, 0);
        gets(&mut p, 0, Some((1, 10)), 10);
        let keyed = p.reserve(ms(1), (1, 0), Some(42), None).expect("room").expect("it costs");
        p.settle(keyed, true);
        let first = p.ask(ms(2)).expect("a report");
        let again = p.ask(ms(3)).expect("a report");
        assert_eq!((first.report.number, &first.report.keys), (again.report.number, &again.report.keys));
        assert_eq!(again.report.keys.len(), 1);
        p.apply(ms(3), &again, &Word { token: 1, report: again.report.number, accounts: Vec::new() });
        assert!(p.ask(ms(4)).is_some_and(|ask| ask.report.keys.is_empty()));
    }
}

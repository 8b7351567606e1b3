//! Single words of voters, and what candidates make of them.

use birchswitch_lease::{
    Action, Ballot, Candidate, CandidateId, Key, Message, Refusal, Request, Response, Safeguards, Terms,
    Time, Turns, Voter, Wish, Word,
};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const NOW: Time = Duration::from_secs(1000);

fn address(n: u8) -> SocketAddr {
    ([127, 0, 0, n], 7000).into()
}

fn terms() -> Arc<Terms> {
    Arc::new(Terms::new((1..=3).map(address).collect()))
}

fn key(name: &str) -> Key {
    Key::new(name, 0).expect("a sound name")
}

fn voter(terms: &Arc<Terms>) -> Voter {
    Voter::new(terms.clone(), 0, Time::ZERO)
}

fn ask(
    voter: &mut Voter,
    sum: u64,
    name: &str,
    life: u64,
    number: u64,
    wish: Wish,
) -> Vec<(SocketAddr, Response)> {
    let ask = Request { key: key(name), ballot: Ballot { number, life: CandidateId(life) }, turn: 1, wish };
    let mut out = Vec::new();
    voter.handle_request(NOW, address(life as u8 + 100), sum, &ask, &mut out);
    out
}

fn word(answers: &[(SocketAddr, Response)]) -> Word {
    answers[0].1.word
}

#[test]
fn names_that_are_none_are_refused_and_not_read() {
    for name in ["", "a b", "é", &"x".repeat(65), &"x".repeat(4096)] {
        assert!(Key::new(name, 0).is_err(), "{name}");
    }
    let good = Message::Request(
        1,
        Request {
            key: key("a"),
            ballot: Ballot { number: 1, life: CandidateId(1) },
            turn: 1,
            wish: Wish::Prepare,
        },
    );
    let bytes = good.encode();
    assert_eq!(Message::decode(&bytes), Some(good));
    let name = bytes.iter().position(|b| *b == b'a').expect("its name");
    let mut blank = bytes.clone();
    blank[name] = b' ';
    assert_eq!(Message::decode(&blank), None);
}

#[test]
fn electorates_that_differ_refuse_each_other() {
    let terms = terms();
    let mut voter = voter(&terms);
    let mut turned = (*terms).clone();
    turned.voters.reverse();
    assert_eq!(turned.checksum(), terms.checksum(), "the order of voters does not count");
    assert_eq!(word(&ask(&mut voter, turned.checksum(), "a", 1, 5, Wish::Prepare)), Word::Promised);
    let other = Terms { ttl: Duration::from_secs(11), ..(*terms).clone() };
    assert_eq!(
        word(&ask(&mut voter, other.checksum(), "a", 2, 9, Wish::Prepare)),
        Word::Elsewhere(terms.checksum())
    );

    let mut candidate = Candidate::new(terms.clone(), CandidateId(7), 0);
    let mut out = Vec::new();
    candidate.acquire(NOW, key("a"), &mut out);
    let Some(Action::Send(_, asked)) = out.first().cloned() else { panic!("it asks") };
    out.clear();
    for n in 1..=2 {
        let answer = Response {
            key: asked.key.clone(),
            ballot: asked.ballot,
            turn: asked.turn,
            wish: asked.wish,
            word: Word::Elsewhere(1),
        };
        candidate.handle_response(NOW, address(n), &answer, &mut out);
    }
    assert!(out.contains(&Action::Refused(key("a"), Refusal::Elsewhere)), "{out:?}");
    // A stranger's word counts for nothing.
    out.clear();
    let answer = Response {
        key: key("a"),
        ballot: asked.ballot,
        turn: asked.turn,
        wish: asked.wish,
        word: Word::Promised,
    };
    candidate.handle_response(NOW, address(99), &answer, &mut out);
    assert!(out.is_empty());
}

#[test]
fn terms_that_make_no_sense_are_told() {
    let with = |change: fn(&mut Terms)| {
        let mut terms = (*terms()).clone();
        change(&mut terms);
        terms.check().expect_err("it makes no sense").to_string()
    };
    assert!(with(|t| t.voters.truncate(2)).contains("`voters`"));
    assert!(with(|t| t.voters[1] = t.voters[0]).contains("twice"));
    assert!(with(|t| t.ttl = Duration::from_millis(500)).contains("`ttl`"));
    assert!(with(|t| t.round = Duration::from_secs(4)).contains("`round`"));
}

/// Who waits is told at once when the holder gives the lease back.
#[test]
fn a_lease_that_is_given_back_is_offered_to_who_waits() {
    let terms = terms();
    let (mut voter, sum) = (voter(&terms), terms.checksum());
    assert_eq!(word(&ask(&mut voter, sum, "a", 1, 5, Wish::Prepare)), Word::Promised);
    assert_eq!(word(&ask(&mut voter, sum, "a", 1, 5, Wish::Propose)), Word::Accepted);
    assert_eq!(word(&ask(&mut voter, sum, "a", 2, 6, Wish::Prepare)), Word::Busy(terms.ttl));
    let told = ask(&mut voter, sum, "a", 1, 5, Wish::Release);
    assert_eq!(told.iter().map(|t| (t.0, t.1.word)).collect::<Vec<_>>(), [(address(102), Word::Free)]);
    assert_eq!(word(&ask(&mut voter, sum, "a", 2, 6, Wish::Prepare)), Word::Promised);
    assert_eq!(
        word(&ask(&mut voter, sum, "a", 1, 5, Wish::Propose)),
        Word::Above(6),
        "the old ballot is over"
    );
}

/// What made two candidates fail each other for half a minute: refused for another reason than that somebody has it, a wish for one
/// slot went on to the next, which is the same, and asked there at once.
#[test]
fn only_what_another_has_sends_a_wish_to_the_next_slot() {
    use Refusal::{Abstaining, Behind, Busy, Elsewhere, Full, Unheard};
    let mut one = Turns::new(1);
    for why in [Busy, Behind, Abstaining, Elsewhere, Full, Unheard] {
        assert_eq!(one.refused(0, why), None, "{why:?}");
    }
    let mut three = Turns::new(3);
    assert_eq!(three.refused(2, Behind), None);
    assert_eq!([2, 0, 1].map(|slot| three.refused(slot, Busy)), [Some(0), Some(1), None]);
    assert_eq!(three.refused(1, Busy), Some(2), "and once more round after a wait");
}

/// Carries what one candidate wants to all voters, and their words to whoever they are for, until nothing more is said. Grants come back.
fn carry(
    voters: &mut [Voter],
    candidates: &mut [Candidate],
    now: Time,
    from: usize,
    asked: Vec<Action>,
) -> Vec<usize> {
    let sum = terms().checksum();
    let (mut granted, mut queue) = (Vec::new(), asked.into_iter().map(|a| (from, a)).collect::<Vec<_>>());
    while !queue.is_empty() {
        let (by, action) = queue.remove(0);
        match action {
            Action::Granted(_) => granted.push(by),
            Action::Send(to, ask) => {
                let mut words = Vec::new();
                let n = (0..voters.len()).find(|n| address(1 + *n as u8) == to).expect("one of them");
                voters[n].handle_request(now, address(100 + by as u8), sum, &ask, &mut words);
                for (whose, word) in words {
                    let whose = (0..candidates.len())
                        .find(|n| address(100 + *n as u8) == whose)
                        .expect("one of them");
                    let mut out = Vec::new();
                    candidates[whose].handle_response(now, to, &word, &mut out);
                    queue.extend(out.into_iter().map(|a| (whose, a)));
                }
            }
            _ => {}
        }
    }
    granted
}

/// Candidates whose tries failed go on waiting: one of them has the lease as soon as it is given back, long before it would have asked again.
#[test]
fn who_was_refused_has_the_lease_as_soon_as_it_is_given_back() {
    let terms = terms();
    let mut voters: Vec<Voter> = (0..3).map(|_| voter(&terms)).collect();
    let mut candidates: Vec<Candidate> =
        (0..4).map(|n| Candidate::new(terms.clone(), CandidateId(n + 1), 0)).collect();
    let mut wants = |n: usize, candidates: &mut Vec<Candidate>| {
        let mut out = Vec::new();
        candidates[n].acquire(NOW, key("a"), &mut out);
        carry(&mut voters, candidates, NOW, n, out)
    };
    assert_eq!(wants(0, &mut candidates), [0]);
    (1..4).for_each(|n| assert!(wants(n, &mut candidates).is_empty()));
    let mut out = Vec::new();
    candidates[0].release(NOW, &key("a"), &mut out);
    assert!(carry(&mut voters, &mut candidates, NOW, 0, out).is_empty(), "each looks a moment later");
    let soon = NOW + terms.round / 10;
    let mut granted = Vec::new();
    for n in 1..4 {
        let mut out = Vec::new();
        candidates[n].wake(soon, &mut out);
        granted.extend(carry(&mut voters, &mut candidates, soon, n, out));
    }
    assert_eq!(granted.len(), 1, "one of those that wait");
}

/// Names beyond what is kept push out those that nobody has, and never one that somebody holds; the floor rises for what was pushed out.
#[test]
fn memory_is_bounded_and_grants_stay() {
    let terms = terms();
    let (mut voter, sum) = (voter(&terms), terms.checksum());
    for n in 0..4096 {
        let name = format!("n{n}");
        ask(&mut voter, sum, &name, 1, 50, Wish::Prepare);
        let wish = if n % 2 == 0 { Wish::Propose } else { Wish::Release };
        ask(&mut voter, sum, &name, 1, 50, wish);
    }
    for n in 0..2048 {
        assert_eq!(word(&ask(&mut voter, sum, &format!("m{n}"), 2, 60, Wish::Prepare)), Word::Promised);
    }
    assert_eq!(word(&ask(&mut voter, sum, "more", 2, 60, Wish::Prepare)), Word::Full);
    assert_eq!(voter.granted(NOW).count(), 2048);
    assert_eq!(word(&ask(&mut voter, sum, "n0", 2, 70, Wish::Prepare)), Word::Busy(terms.ttl));
    assert_eq!(Safeguards::ALL, terms.safeguards);
}

proptest! {
    #[test]
    fn any_bytes_are_a_message_or_none(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Some(message) = Message::decode(&bytes) {
            prop_assert_eq!(Message::decode(&message.encode()), Some(message));
        }
    }
}

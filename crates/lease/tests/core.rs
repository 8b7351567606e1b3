//! Tests of voters' replies and of how candidates react to them.

use birchswitch_lease::{
    Action, Ballot, Candidate, CandidateId, Key, Message, Op, Refusal, Reply, Request, Response, Safeguards,
    SlotRotation, Terms, Time, Voter,
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
    Key::new(name, 0).expect("a valid name")
}

fn voter(terms: &Arc<Terms>) -> Voter {
    Voter::new(terms.clone(), 0, Time::ZERO)
}

fn request(
    voter: &mut Voter,
    checksum: u64,
    name: &str,
    candidate: u64,
    number: u64,
    op: Op,
) -> Vec<(SocketAddr, Response)> {
    let request = Request {
        key: key(name),
        ballot: Ballot { number, candidate: CandidateId(candidate) },
        sequence: 1,
        op,
    };
    let mut out = Vec::new();
    voter.handle_request(NOW, address(candidate as u8 + 100), checksum, &request, &mut out);
    out
}

fn reply(responses: &[(SocketAddr, Response)]) -> Reply {
    responses[0].1.reply
}

#[test]
fn invalid_names_are_rejected_and_not_decoded() {
    for name in ["", "a b", "é", &"x".repeat(65), &"x".repeat(4096)] {
        assert!(Key::new(name, 0).is_err(), "{name}");
    }
    let valid = Message::Request(
        1,
        Request {
            key: key("a"),
            ballot: Ballot { number: 1, candidate: CandidateId(1) },
            sequence: 1,
            op: Op::Prepare,
        },
    );
    let bytes = valid.encode();
    assert_eq!(Message::decode(&bytes), Some(valid));
    let name = bytes.iter().position(|b| *b == b'a').expect("its name");
    let mut blank = bytes.clone();
    blank[name] = b' ';
    assert_eq!(Message::decode(&blank), None);
}

#[test]
fn different_terms_are_refused() {
    let terms = terms();
    let mut voter = voter(&terms);
    let mut reordered = (*terms).clone();
    reordered.voters.reverse();
    assert_eq!(reordered.checksum(), terms.checksum(), "the order of voters does not matter");
    assert_eq!(reply(&request(&mut voter, reordered.checksum(), "a", 1, 5, Op::Prepare)), Reply::Promised);
    let other = Terms { ttl: Duration::from_secs(11), ..(*terms).clone() };
    assert_eq!(
        reply(&request(&mut voter, other.checksum(), "a", 2, 9, Op::Prepare)),
        Reply::TermsMismatch(terms.checksum())
    );

    let mut candidate = Candidate::new(terms.clone(), CandidateId(7), 0);
    let mut out = Vec::new();
    candidate.acquire(NOW, key("a"), &mut out);
    let Some(Action::Send(_, sent)) = out.first().cloned() else { panic!("no request was sent") };
    out.clear();
    for n in 1..=2 {
        let response = Response {
            key: sent.key.clone(),
            ballot: sent.ballot,
            sequence: sent.sequence,
            op: sent.op,
            reply: Reply::TermsMismatch(1),
        };
        candidate.handle_response(NOW, address(n), &response, &mut out);
    }
    assert!(out.contains(&Action::Refused(key("a"), Refusal::Elsewhere)), "{out:?}");
    // A response from an unknown address is ignored.
    out.clear();
    let response = Response {
        key: key("a"),
        ballot: sent.ballot,
        sequence: sent.sequence,
        op: sent.op,
        reply: Reply::Promised,
    };
    candidate.handle_response(NOW, address(99), &response, &mut out);
    assert!(out.is_empty());
}

#[test]
fn invalid_terms_are_rejected() {
    let with = |change: fn(&mut Terms)| {
        let mut terms = (*terms()).clone();
        change(&mut terms);
        terms.check().expect_err("invalid terms").to_string()
    };
    assert!(with(|t| t.voters.truncate(2)).contains("`voters`"));
    assert!(with(|t| t.voters[1] = t.voters[0]).contains("twice"));
    assert!(with(|t| t.ttl = Duration::from_millis(500)).contains("`ttl`"));
    assert!(with(|t| t.round = Duration::from_secs(4)).contains("`round`"));
}

/// A waiting candidate is notified as soon as the holder releases the lease.
#[test]
fn a_released_lease_is_offered_to_a_waiting_candidate() {
    let terms = terms();
    let (mut voter, checksum) = (voter(&terms), terms.checksum());
    assert_eq!(reply(&request(&mut voter, checksum, "a", 1, 5, Op::Prepare)), Reply::Promised);
    assert_eq!(reply(&request(&mut voter, checksum, "a", 1, 5, Op::Propose)), Reply::Accepted);
    assert_eq!(reply(&request(&mut voter, checksum, "a", 2, 6, Op::Prepare)), Reply::Busy(terms.ttl));
    let notified = request(&mut voter, checksum, "a", 1, 5, Op::Release);
    assert_eq!(
        notified.iter().map(|t| (t.0, t.1.reply)).collect::<Vec<_>>(),
        [(address(102), Reply::Available)]
    );
    assert_eq!(reply(&request(&mut voter, checksum, "a", 2, 6, Op::Prepare)), Reply::Promised);
    assert_eq!(
        reply(&request(&mut voter, checksum, "a", 1, 5, Op::Propose)),
        Reply::BallotTooLow(6),
        "the old ballot has been superseded"
    );
}

/// Guards against two candidates that refused each other for half a minute: after any refusal other
/// than busy, a claim for the only slot moved on to the next slot, which is the same one, and
/// retried immediately.
#[test]
fn only_a_busy_slot_moves_on_to_the_next() {
    use Refusal::{Abstaining, Behind, Busy, Elsewhere, Full, Unheard};
    let mut one = SlotRotation::new(1);
    for refusal in [Busy, Behind, Abstaining, Elsewhere, Full, Unheard] {
        assert_eq!(one.next_slot(0, refusal), None, "{refusal:?}");
    }
    let mut three = SlotRotation::new(3);
    assert_eq!(three.next_slot(2, Behind), None);
    assert_eq!([2, 0, 1].map(|slot| three.next_slot(slot, Busy)), [Some(0), Some(1), None]);
    assert_eq!(three.next_slot(1, Busy), Some(2), "the rotation starts over after a wait");
}

/// Delivers a candidate's requests to all voters and the responses to their recipients, until no
/// messages are left. Returns the candidates that were granted a lease.
fn deliver_all(
    voters: &mut [Voter],
    candidates: &mut [Candidate],
    now: Time,
    from: usize,
    sent: Vec<Action>,
) -> Vec<usize> {
    let checksum = terms().checksum();
    let (mut granted, mut queue) = (Vec::new(), sent.into_iter().map(|a| (from, a)).collect::<Vec<_>>());
    while !queue.is_empty() {
        let (sender, action) = queue.remove(0);
        match action {
            Action::Granted(_) => granted.push(sender),
            Action::Send(to, request) => {
                let mut responses = Vec::new();
                let n = (0..voters.len()).find(|n| address(1 + *n as u8) == to).expect("one of them");
                voters[n].handle_request(
                    now,
                    address(100 + sender as u8),
                    checksum,
                    &request,
                    &mut responses,
                );
                for (recipient, reply) in responses {
                    let recipient = (0..candidates.len())
                        .find(|n| address(100 + *n as u8) == recipient)
                        .expect("one of them");
                    let mut out = Vec::new();
                    candidates[recipient].handle_response(now, to, &reply, &mut out);
                    queue.extend(out.into_iter().map(|a| (recipient, a)));
                }
            }
            _ => {}
        }
    }
    granted
}

/// Candidates keep waiting after failed attempts: one of them gets the lease as soon as it is
/// released, long before it would have retried.
#[test]
fn a_waiting_candidate_gets_the_lease_soon_after_release() {
    let terms = terms();
    let mut voters: Vec<Voter> = (0..3).map(|_| voter(&terms)).collect();
    let mut candidates: Vec<Candidate> =
        (0..4).map(|n| Candidate::new(terms.clone(), CandidateId(n + 1), 0)).collect();
    let mut acquire = |n: usize, candidates: &mut Vec<Candidate>| {
        let mut out = Vec::new();
        candidates[n].acquire(NOW, key("a"), &mut out);
        deliver_all(&mut voters, candidates, NOW, n, out)
    };
    assert_eq!(acquire(0, &mut candidates), [0]);
    (1..4).for_each(|n| assert!(acquire(n, &mut candidates).is_empty()));
    let mut out = Vec::new();
    candidates[0].release(NOW, &key("a"), &mut out);
    assert!(
        deliver_all(&mut voters, &mut candidates, NOW, 0, out).is_empty(),
        "candidates retry after a short delay"
    );
    let shortly_after = NOW + terms.round / 10;
    let mut granted = Vec::new();
    for n in 1..4 {
        let mut out = Vec::new();
        candidates[n].wake(shortly_after, &mut out);
        granted.extend(deliver_all(&mut voters, &mut candidates, shortly_after, n, out));
    }
    assert_eq!(granted.len(), 1, "exactly one of the waiting candidates");
}

/// When too many names are in use, unheld ones are evicted and held ones never; the floor rises for
/// those evicted.
#[test]
fn memory_is_bounded_and_grants_are_kept() {
    let terms = terms();
    let (mut voter, checksum) = (voter(&terms), terms.checksum());
    for n in 0..4096 {
        let name = format!("n{n}");
        request(&mut voter, checksum, &name, 1, 50, Op::Prepare);
        let op = if n % 2 == 0 { Op::Propose } else { Op::Release };
        request(&mut voter, checksum, &name, 1, 50, op);
    }
    for n in 0..2048 {
        assert_eq!(
            reply(&request(&mut voter, checksum, &format!("m{n}"), 2, 60, Op::Prepare)),
            Reply::Promised
        );
    }
    assert_eq!(reply(&request(&mut voter, checksum, "more", 2, 60, Op::Prepare)), Reply::Full);
    assert_eq!(voter.granted(NOW).count(), 2048);
    assert_eq!(reply(&request(&mut voter, checksum, "n0", 2, 70, Op::Prepare)), Reply::Busy(terms.ttl));
    assert_eq!(Safeguards::ALL, terms.safeguards);
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_to_a_message_or_nothing(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Some(message) = Message::decode(&bytes) {
            prop_assert_eq!(Message::decode(&message.encode()), Some(message));
        }
    }
}

//! Which ways of sending a message count as too slow.

use super::*;

const MS: Duration = Duration::from_millis(1);

/// Receives a piece of this many bytes after each pause, and returns the progress and the time.
fn receive(pause: Duration, piece: usize, pieces: u32) -> (InputProgress, Instant) {
    let progress = InputProgress::default();
    let mut now = Instant::now();
    progress.start();
    for _ in 0..pieces {
        progress.set_awaited(now);
        now += pause;
        progress.received(piece, now);
    }
    progress.set_awaited(now);
    (progress, now)
}

fn is_given_up(progress: &InputProgress, now: Instant) -> bool {
    progress.lag(now).expect("more is awaited").is_excessive()
}

#[test]
fn a_message_above_the_minimum_rate_never_lags_however_it_is_cut() {
    // 48 KiB a second, in pieces that come within the time that any first pause may take.
    for piece in [512, 4 << 10, 16 << 10] {
        let pause = Duration::from_secs_f64(piece as f64 / (48.0 * 1024.0));
        let (progress, now) = receive(pause, piece, 100);
        assert!(!is_given_up(&progress, now + pause), "{piece} bytes every {pause:?}");
    }
}

#[test]
fn a_message_that_stops_is_given_up_however_much_of_it_has_come() {
    for received in [0, 20_000, 10_000_000] {
        let (progress, now) = receive(Duration::ZERO, received, 1);
        assert!(!is_given_up(&progress, now + MAX_LAG - MS), "{received} bytes");
        assert!(is_given_up(&progress, now + MAX_LAG), "{received} bytes");
    }
}

/// Guards against a byte now and then that keeps a connection: the minimum rate counts, not the silence.
#[test]
fn a_byte_now_and_then_is_given_up() {
    let (progress, now) = receive(50 * MS, 1, 10);
    assert!(is_given_up(&progress, now));
}

#[test]
fn longer_pauses_are_allowed_after_pauses_that_more_followed() {
    let (progress, now) = receive(670 * MS, 32 << 10, 3);
    assert!(!is_given_up(&progress, now + 1200 * MS));
    assert!(is_given_up(&progress, now + 1400 * MS));
}

/// A server that reads slowly keeps the node from reading: that is not held against the client.
#[test]
fn only_time_spent_waiting_for_the_client_counts() {
    let (progress, now) = receive(Duration::ZERO, 1000, 1);
    progress.received(1000, now);
    let much_later = now + 5000 * MS;
    assert_eq!(progress.lag(much_later), None);
    progress.set_awaited(much_later);
    assert!(!is_given_up(&progress, much_later));
}

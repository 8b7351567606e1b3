//! What waits for a peer: questions, each with a deadline, and the newest word of each topic.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// Questions to one peer that wait to be sent, and as many again that wait for their answers.
pub const MAX_QUEUED_REQUESTS: usize = 64;
/// Topics of which the newest word is kept for a peer.
pub const MAX_TOPICS: usize = 16;

/// A question.
#[derive(Debug)]
pub(crate) struct Ask {
    pub lane: u8,
    pub bytes: Bytes,
    /// Nobody waits for an answer any more after this.
    pub until: Instant,
    pub reply: oneshot::Sender<Option<Bytes>>,
}

impl Ask {
    /// Whether somebody still waits.
    pub(crate) fn wanted(&self, now: Instant) -> bool {
        now < self.until && !self.reply.is_closed()
    }
}

/// The newest word of each topic that was not sent yet.
#[derive(Debug, Default)]
pub(crate) struct Words {
    words: Mutex<BTreeMap<u8, Bytes>>,
    came: Notify,
}

impl Words {
    /// Puts a word in the place of an older one. False: there was one, which is dropped.
    pub(crate) fn put(&self, topic: u8, bytes: Bytes) -> bool {
        let mut words = self.words.lock().unwrap_or_else(PoisonError::into_inner);
        if words.len() >= MAX_TOPICS && !words.contains_key(&topic) {
            return false;
        }
        let fresh = words.insert(topic, bytes).is_none();
        drop(words);
        self.came.notify_one();
        fresh
    }

    pub(crate) fn take(&self) -> Option<(u8, Bytes)> {
        self.words.lock().unwrap_or_else(PoisonError::into_inner).pop_first()
    }

    /// Waits for a word.
    pub(crate) async fn next(&self) -> (u8, Bytes) {
        loop {
            if let Some(word) = self.take() {
                return word;
            }
            self.came.notified().await;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.words.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    /// Waits until there is one, and leaves it there.
    pub(crate) async fn some(&self) {
        while self.is_empty() {
            self.came.notified().await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_newest_word_of_a_topic_is_kept_and_no_more_topics_than_may_be() {
        let words = Words::default();
        let bytes = Bytes::from_static;
        assert!(words.put(1, bytes(b"old")) && words.put(2, bytes(b"other")));
        assert!(!words.put(1, bytes(b"new")), "the old one was dropped");
        assert_eq!(words.take(), Some((1, bytes(b"new"))));
        assert_eq!(words.take(), Some((2, bytes(b"other"))));
        assert!(words.is_empty());
        (0..MAX_TOPICS as u8).for_each(|t| assert!(words.put(t, bytes(b"x"))));
        assert!(!words.put(200, bytes(b"x")), "one topic too many");
        assert!(!words.put(3, bytes(b"y")) && words.words.lock().expect("no panic").len() == MAX_TOPICS);
    }
}

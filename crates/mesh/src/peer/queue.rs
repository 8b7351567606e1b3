//! What is queued for a peer: requests, each with a deadline, and the latest message of each topic.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// Most requests to one peer that wait to be sent. As many again may wait for their responses.
pub const MAX_QUEUED_REQUESTS: usize = 64;
/// Most topics of which a message is queued for a peer.
pub const MAX_TOPICS: usize = 16;

/// A request that waits to be sent or for its response.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub lane: u8,
    pub bytes: Bytes,
    /// The sender stops waiting at this time.
    pub deadline: Instant,
    pub reply: oneshot::Sender<Option<Bytes>>,
}

impl PendingRequest {
    /// Whether the sender still waits for the response.
    pub(crate) fn is_awaited(&self, now: Instant) -> bool {
        now < self.deadline && !self.reply.is_closed()
    }
}

/// The latest message of each topic that was not sent yet.
#[derive(Debug, Default)]
pub(crate) struct LatestMessages {
    messages: Mutex<BTreeMap<u8, Bytes>>,
    changed: Notify,
}

impl LatestMessages {
    /// Queues a message. Returns false if a message was dropped: an older one of the topic, or this one if there are too many topics.
    pub(crate) fn put(&self, topic: u8, bytes: Bytes) -> bool {
        let mut messages = self.messages.lock().unwrap_or_else(PoisonError::into_inner);
        if messages.len() >= MAX_TOPICS && !messages.contains_key(&topic) {
            return false;
        }
        let inserted = messages.insert(topic, bytes).is_none();
        drop(messages);
        self.changed.notify_one();
        inserted
    }

    pub(crate) fn take(&self) -> Option<(u8, Bytes)> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner).pop_first()
    }

    /// Waits for a message and takes it.
    pub(crate) async fn next(&self) -> (u8, Bytes) {
        loop {
            if let Some(message) = self.take() {
                return message;
            }
            self.changed.notified().await;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    /// Waits until there is a message, and leaves it queued.
    pub(crate) async fn wait(&self) {
        while self.is_empty() {
            self.changed.notified().await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_newer_message_replaces_an_older_one_and_topics_are_limited() {
        let messages = LatestMessages::default();
        let bytes = Bytes::from_static;
        assert!(messages.put(1, bytes(b"old")) && messages.put(2, bytes(b"other")));
        assert!(!messages.put(1, bytes(b"new")), "the old one was dropped");
        assert_eq!(messages.take(), Some((1, bytes(b"new"))));
        assert_eq!(messages.take(), Some((2, bytes(b"other"))));
        assert!(messages.is_empty());
        (0..MAX_TOPICS as u8).for_each(|t| assert!(messages.put(t, bytes(b"x"))));
        assert!(!messages.put(200, bytes(b"x")), "one topic beyond the limit");
        assert!(
            !messages.put(3, bytes(b"y")) && messages.messages.lock().expect("no panic").len() == MAX_TOPICS
        );
    }
}

//! Serving a task of the whole fleet: while this node holds its lease, whoever asks is answered by one sitting for each token.

use crate::{Clock, Mesh, ProcessId, ResponseFuture, Time};
use arc_swap::ArcSwap;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};

/// A time as the one that runs a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipTerm {
    /// The lease's.
    pub token: u64,
    /// Nothing is answered from then on, by the node's clock.
    pub until: Time,
}

/// What whoever runs a task does under one token, without I/O.
pub trait TermHandler: Send + 'static {
    /// What it is asked.
    type Request: DeserializeOwned;
    /// What it answers.
    type Response: Serialize;

    /// The highest token that whoever asks has heard; none: the question makes no sense.
    fn highest_token(question: &Self::Request) -> Option<u64>;

    /// Answers one.
    fn handle(&mut self, now: Time, who: ProcessId, question: Self::Request) -> Self::Response;
}

/// Begins a sitting under a token, at a time.
type Begins<S> = dyn Fn(u64, Time) -> S + Send + Sync;

/// Whoever may run a task. The node's thread says when it does, and never waits for what is answered.
pub struct LeasedService<S> {
    clock: Clock,
    begins: Box<Begins<S>>,
    reign: ArcSwap<Option<LeadershipTerm>>,
    sitting: Mutex<Option<(u64, S)>>,
}

impl<S: TermHandler> LeasedService<S> {
    /// Serves on a lane from now on, whenever its node runs the task.
    pub fn serve(
        mesh: &Mesh,
        lane: u8,
        begins: impl Fn(u64, Time) -> S + Send + Sync + 'static,
    ) -> Arc<Self> {
        let (clock, begins) = (mesh.clock(), Box::new(begins));
        let seat =
            Arc::new(LeasedService { clock, begins, reign: ArcSwap::default(), sitting: Mutex::new(None) });
        let serves = Arc::downgrade(&seat);
        let serve = move |who: ProcessId, bytes: Bytes| {
            let answer = serves.upgrade().and_then(|seat| seat.answer(who, &bytes));
            Box::pin(std::future::ready(answer)) as ResponseFuture
        };
        mesh.serve(lane, Arc::new(serve));
        seat
    }

    /// It runs the task until then, or does not.
    pub fn set_term(&self, reign: Option<LeadershipTerm>) {
        self.reign.store(Arc::new(reign));
    }

    fn answer(&self, who: ProcessId, bytes: &[u8]) -> Option<Bytes> {
        let now = self.clock.now();
        let reign = (**self.reign.load()).filter(|r| now < r.until)?;
        let question: S::Request = postcard::from_bytes(bytes).ok()?;
        // Beyond: somebody has heard a later one.
        S::highest_token(&question).filter(|heard| *heard <= reign.token)?;
        let mut sitting = self.sitting.lock().unwrap_or_else(PoisonError::into_inner);
        if sitting.as_ref().is_none_or(|s| s.0 != reign.token) {
            *sitting = Some((reign.token, (self.begins)(reign.token, now)));
        }
        let word = sitting.as_mut()?.1.handle(now, who, question);
        Some(postcard::to_stdvec(&word).ok()?.into())
    }
}

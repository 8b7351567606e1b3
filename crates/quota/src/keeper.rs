//! The keeper's side: while this node holds the lease, whoever asks is answered from the books.

use crate::{Books, Limit, Need, Terms, Word};
use birchswitch_mesh::{LeasedService, Mesh, ProcessId, TermHandler, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The mesh's lane for limits.
pub const LANE: u8 = 1;
/// The task's name, and its lease's.
pub const TASK: &str = "limits";

/// The books of all limits, under one token.
pub struct Keeper {
    token: u64,
    /// By the limits' ids.
    books: BTreeMap<u64, Books>,
}

impl Keeper {
    /// Serves on the mesh from now on, whenever it is keeper.
    pub fn serve(mesh: &Mesh, limits: &[Limit], terms: Terms) -> Arc<LeasedService<Keeper>> {
        let (limits, clock) = (limits.to_vec(), mesh.clock());
        LeasedService::serve(mesh, LANE, move |token, now| {
            tracing::info!(target: "quota", kind = "keeps", token);
            let new = |limit: &Limit| (limit.id, Books::new(limit, &terms, clock, token, now));
            Keeper { token, books: limits.iter().map(new).collect() }
        })
    }
}

impl TermHandler for Keeper {
    type Request = Need;
    type Response = Word;

    fn highest_token(need: &Need) -> Option<u64> {
        need.sound().then_some(need.heard)
    }

    fn handle(&mut self, now: Time, who: ProcessId, need: Need) -> Word {
        let issue = |of: &crate::LimitNeed| {
            let books = self.books.get_mut(&of.limit)?;
            books.ask(now, who, need.heard, of)
        };
        Word { token: self.token, issues: need.limits.iter().filter_map(issue).collect() }
    }
}

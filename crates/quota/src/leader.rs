//! The keeper's side: while this node holds the lease, whoever asks is answered from the books.

use crate::{Allocator, Limit, QuotaTiming, RenewalRequest, RenewalResponse};
use birchswitch_mesh::{LeasedService, Mesh, ProcessId, TermHandler, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The mesh's lane for limits.
pub const LANE: u8 = 1;
/// The task's name, and its lease's.
pub const TASK: &str = "limits";

/// The books of all limits, under one token.
pub struct Leader {
    token: u64,
    /// By the limits' ids.
    books: BTreeMap<u64, Allocator>,
}

impl Leader {
    /// Serves on the mesh from now on, whenever it is keeper.
    pub fn serve(mesh: &Mesh, limits: &[Limit], terms: QuotaTiming) -> Arc<LeasedService<Leader>> {
        let (limits, clock) = (limits.to_vec(), mesh.clock());
        LeasedService::serve(mesh, LANE, move |token, now| {
            tracing::info!(target: "quota", kind = "keeps", token);
            let new = |limit: &Limit| (limit.id, Allocator::new(limit, &terms, clock, token, now));
            Leader { token, books: limits.iter().map(new).collect() }
        })
    }
}

impl TermHandler for Leader {
    type Request = RenewalRequest;
    type Response = RenewalResponse;

    fn highest_token(need: &RenewalRequest) -> Option<u64> {
        need.is_valid().then_some(need.highest_token)
    }

    fn handle(&mut self, now: Time, who: ProcessId, need: RenewalRequest) -> RenewalResponse {
        let issue = |of: &crate::LimitRequest| {
            let books = self.books.get_mut(&of.limit)?;
            books.renew(now, who, need.highest_token, of)
        };
        RenewalResponse { token: self.token, grants: need.limits.iter().filter_map(issue).collect() }
    }
}

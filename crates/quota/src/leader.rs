//! The leader's side: while this node holds the lease, it answers renewal requests from one allocator for each limit.

use crate::{Allocator, Limit, QuotaTiming, RenewalRequest, RenewalResponse};
use birchswitch_mesh::{LeasedService, Mesh, ProcessId, TermHandler, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The mesh's lane for limits.
pub const LANE: u8 = 1;
/// The name of the task, and of its lease.
pub const TASK: &str = "limits";

/// The allocators of all limits during one leadership term.
pub struct Leader {
    token: u64,
    /// Keyed by the limits' ids.
    allocators: BTreeMap<u64, Allocator>,
}

impl Leader {
    /// Registers the service on the mesh. It answers whenever this node holds the lease.
    pub fn serve(mesh: &Mesh, limits: &[Limit], timing: QuotaTiming) -> Arc<LeasedService<Leader>> {
        let (limits, clock) = (limits.to_vec(), mesh.clock());
        LeasedService::serve(mesh, LANE, move |token, now| {
            tracing::info!(target: "quota", kind = "keeps", token);
            let new = |limit: &Limit| (limit.id, Allocator::new(limit, &timing, clock, token, now));
            Leader { token, allocators: limits.iter().map(new).collect() }
        })
    }
}

impl TermHandler for Leader {
    type Request = RenewalRequest;
    type Response = RenewalResponse;

    fn highest_token(request: &RenewalRequest) -> Option<u64> {
        request.is_valid().then_some(request.highest_token)
    }

    fn handle(&mut self, now: Time, process: ProcessId, request: RenewalRequest) -> RenewalResponse {
        let renew = |limit: &crate::LimitRequest| {
            let allocator = self.allocators.get_mut(&limit.limit)?;
            allocator.renew(now, process, request.highest_token, limit)
        };
        RenewalResponse { token: self.token, grants: request.limits.iter().filter_map(renew).collect() }
    }
}

//! Admission control in front of the engine: fleet-wide limits and accounts, which admit each request once
//! and are notified of its end.

use finchvale::{ClassId, TenantId};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Hashes a key together with its class and tenant. The hash is stored and compared between nodes and fronts,
/// so it must not change.
pub fn key_hash(class: ClassId, tenant: TenantId, key: &[u8]) -> u64 {
    xxh3_64(&[&[class.0], &tenant.0.to_le_bytes()[..], key].concat())
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request's class.
    pub class: ClassId,
    /// The tenant it belongs to.
    pub tenant: TenantId,
    /// The hash of its key, if it has one.
    pub key: Option<u64>,
    /// Expected work, if the client sent a hint.
    pub work: Option<Duration>,
}

/// A request was rejected: it never ran, and a retry is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
    /// The reason, as text for the client.
    pub message: &'static str,
}

/// Admits or rejects requests. Called on the node's event loop, so implementations must not block.
pub trait Admission {
    /// Admits or rejects a request. The permit, if there is one, is notified of the request's attempts and
    /// end.
    fn admit(&self, request: &AdmissionRequest) -> Result<Option<Box<dyn AdmissionPermit>>, Rejection>;
}

/// What an admitted request holds, such as a share of a limit or a reservation.
pub trait AdmissionPermit {
    /// Checks again whether the request may be sent. Called immediately before the first byte of each
    /// attempt, which may be long after admission.
    fn check(&self) -> Result<(), Rejection> {
        Ok(())
    }

    /// Called when an attempt is sent to a server.
    fn attempt_sent(&self) {}

    /// Called when the request is finished. `may_have_run` tells whether any server ran it or may have run
    /// it.
    fn finish(self: Box<Self>, may_have_run: bool);
}

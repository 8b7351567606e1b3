//! What stands before the decisions: limits and accounts of the whole fleet, asked once for each request and told of its end.

use finchvale::{ClassId, TenantId};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// What a key is known by: the same on every node and front, for as long as it is remembered.
pub fn key_hash(class: ClassId, tenant: TenantId, key: &[u8]) -> u64 {
    xxh3_64(&[&[class.0], &tenant.0.to_le_bytes()[..], key].concat())
}

/// A request that wants to come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The hash of its key, where it has one.
    pub key: Option<u64>,
    /// Expected work, if the client told.
    pub work: Option<Duration>,
}

/// A request is turned away: it never ran, and trying again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// When it may be worth coming again.
    pub retry_after: Duration,
    /// Why, in a few words for the client.
    pub message: &'static str,
}

/// See the module's words. Asked on the node's own thread: it must not wait for anybody.
pub trait Admission {
    /// Lets a request in, or turns it away. What is returned is told when nothing more can come of the request; none: nobody wants to know.
    fn admit(&self, entering: &AdmissionRequest) -> Result<Option<Box<dyn AdmissionPermit>>, Rejection>;
}

/// What a request took on its way in.
pub trait AdmissionPermit {
    /// Asked right before each attempt's first byte: whether it may still go, long after it was let in perhaps.
    fn check(&self) -> Result<(), Rejection> {
        Ok(())
    }

    /// An attempt goes to a server now.
    fn attempt_sent(&self) {}

    /// Nothing more can come of it. `may_have_run`: it ran, or may have run, at a server.
    fn finish(self: Box<Self>, may_have_run: bool);
}

//! A snapshot of the cluster's membership, written by the node's thread and read by the mesh's tasks.

use birchswitch_cluster::{Generation, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A process: a member, and which of its successive processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The member's id: the hash of its name.
    pub id: MemberId,
    /// Tells the process from earlier ones of the same member.
    pub generation: Generation,
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The generation of its process.
    pub generation: Generation,
    /// The address at which its mesh accepts connections, if it has a mesh.
    pub address: Option<SocketAddr>,
    /// Tasks that it claims to run, as `birchswitch_lease_host::running_tasks` reads them.
    pub tasks: Vec<u32>,
}

/// The members that count as alive, this node among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Members by id.
    pub members: BTreeMap<MemberId, Member>,
    /// The cluster's size as a majority last agreed on it.
    pub agreed: u32,
}

impl MembershipView {
    /// The members that claim to run a task: one, except during a handover.
    pub fn running(&self, task: u32) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(move |(_, m)| m.tasks.contains(&task)).map(|(id, _)| *id)
    }

    /// A member's name, or its id in hexadecimal if it is not known.
    pub fn name(&self, id: MemberId) -> String {
        self.members.get(&id).map_or_else(|| format!("{:x}", id.0), |m| m.name.clone())
    }
}

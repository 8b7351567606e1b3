//! Who the fleet's nodes are, as membership last told: a snapshot that the node's thread makes and tasks read.

use birchswitch_cluster::{Generation, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One process under a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// Its name's hash.
    pub id: MemberId,
    /// Which process.
    pub generation: Generation,
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Which process.
    pub generation: Generation,
    /// Where its mesh takes connections, if it has one.
    pub address: Option<SocketAddr>,
    /// Tasks that it says it runs, as `birchswitch_lease_host::running_tasks` reads them.
    pub tasks: Vec<u32>,
}

/// Those that count as alive, this node among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// By the hashes of their names.
    pub members: BTreeMap<MemberId, Member>,
    /// How many they are by the last agreement of a majority.
    pub agreed: u32,
}

impl MembershipView {
    /// Members that say they run a task: one, but while it changes hands.
    pub fn running(&self, task: u32) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(move |(_, m)| m.tasks.contains(&task)).map(|(id, _)| *id)
    }

    /// The name of a member, or its number where it is none.
    pub fn name(&self, id: MemberId) -> String {
        self.members.get(&id).map_or_else(|| format!("{:x}", id.0), |m| m.name.clone())
    }
}

//! Three nodes in one process with replicas of a ledger, for tests and benchmarks.

use birchswitch_cluster::{Generation, MemberId};
use birchswitch_mesh::{Clock, Identity, Member, MembershipView, Mesh, MeshSettings, ProcessId};
use birchswitch_wallet::{
    serve_replica, AccountTerms, AdminCommand, Leader, LeaderSettings, LeadershipTerm, Prices, Request,
    Response, LANE,
};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;

pub const MAX_BYTES: u64 = 64 << 20;

/// Nodes in one process, each with a replica of the ledger in a folder of its own.
pub struct Nodes {
    pub meshes: Vec<Mesh>,
    pub leaders: Vec<Arc<Leader>>,
    pub folders: Vec<TempDir>,
}

fn terms() -> Vec<AccountTerms> {
    let prices = Prices { classes: vec![1], per_ms: 0 };
    let ahead = Duration::from_secs(2);
    vec![AccountTerms { account: "t".into(), prices, overdraft: 0, low: 1, resume: 1, ahead }]
}

/// Starts nodes with their replicas in these folders. `without` is the index of a node that does not come up.
pub fn start(folders: Vec<TempDir>, without: Option<usize>) -> Nodes {
    let names = ["a", "b", "c"];
    let generation = Generation { started: 1, draw: 0 };
    let mut meshes = Vec::new();
    for name in names {
        let settings = MeshSettings { bind: ([127, 0, 0, 1], 0).into(), advertise: None, connections: 16 };
        let identity = Identity { cluster: "c", name, generation, clock: Clock::new(1000, 50) };
        meshes.push(Mesh::start(&settings, &identity).expect("a mesh"));
    }
    let member = |(n, mesh): (usize, &Mesh)| {
        let (name, zone) = (names[n].to_owned(), String::new());
        let address = Some(mesh.address()).filter(|_| Some(n) != without);
        (MemberId::of(names[n]), Member { name, zone, generation, address, tasks: Vec::new() })
    };
    let roster = MembershipView { members: meshes.iter().enumerate().map(member).collect(), agreed: 3 };
    meshes.iter().for_each(|m| m.set_membership(roster.clone()));
    let ids: Vec<MemberId> = names.iter().map(|n| MemberId::of(n)).collect();
    let settings = LeaderSettings {
        ttl: Duration::from_secs(2),
        longest_request: Duration::from_secs(1),
        keep_in_doubt: true,
        unique_top_ups: true,
    };
    let mut leaders = Vec::new();
    for (n, mesh) in meshes.iter().enumerate() {
        if Some(n) != without {
            serve_replica(mesh, folders[n].path().into(), MAX_BYTES).expect("a replica");
        }
        leaders.push(Leader::serve(mesh, terms(), settings, ids.clone()));
    }
    Nodes { meshes, leaders, folders }
}

pub fn empty_folders() -> Vec<TempDir> {
    (0..3).map(|_| tempfile::tempdir().expect("a folder")).collect()
}

impl Nodes {
    pub async fn call(&self, at: usize, call: AdminCommand) -> Option<Result<String, String>> {
        let request: Bytes = postcard::to_stdvec(&Request::Admin(call)).expect("it encodes").into();
        let own: ProcessId = self.meshes[at].own();
        let answer = self.meshes[at].request(own.id, LANE, request, Duration::from_secs(3)).await.ok()?;
        match postcard::from_bytes(&answer).expect("sense") {
            Response::Admin(text) => Some(text),
            other => panic!("{other:?}"),
        }
    }

    /// Repeats a command until it is answered: the writer may still be recovering.
    pub async fn call_until_answered(&self, at: usize, call: AdminCommand) -> String {
        for _ in 0..50 {
            if let Some(response) = self.call(at, call.clone()).await {
                return response.expect("carried out");
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("{call:?}: no answer");
    }

    pub fn elect(&self, at: usize, token: u64) {
        self.leaders.iter().for_each(|leader| leader.set_term(None));
        self.leaders[at].set_term(Some(LeadershipTerm { token }));
    }
}

pub fn top_up(id: &str, units: u64) -> AdminCommand {
    AdminCommand::TopUp("t".into(), id.into(), units)
}

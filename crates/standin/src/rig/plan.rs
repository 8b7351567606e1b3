//! What a rig is to be built of.

use super::environment::Environment;
use super::wire;
use crate::script::Script;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What to build.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The node's program.
    pub binary: PathBuf,
    /// Nodes that are started at once.
    pub nodes: usize,
    /// Places beside them, for second processes under a name.
    pub spare: usize,
    /// Zones, each of nodes in a row.
    pub zones: usize,
    /// Leases, if nodes take part in them.
    pub lease: Option<LeasePlan>,
    /// Servers that discovery tells of. None: twenty at addresses where nobody listens.
    pub servers: Vec<SocketAddr>,
    /// Connections pass the rig too: only then can a script cut `servers`, `discovery` and `clients`.
    pub streams: bool,
    /// Nodes have a mesh among them, which passes the rig: what a script cuts between nodes is cut for it too.
    pub mesh: bool,
    /// Descriptors that each process may hold; a quarter of them are for its mesh.
    pub sockets: usize,
    /// Each place has a folder that lasts longer than its processes.
    pub folders: bool,
    /// The site's settings.
    pub settings: Value,
    /// Further lines of the operator's file, after all tables; `{folder}` stands for the place's folder.
    pub operator: String,
    /// Faults and the seed.
    pub script: Script,
}

impl Plan {
    /// Nodes of one zone, without leases, whose servers nobody is.
    pub fn new(binary: PathBuf, nodes: usize, script: Script) -> Self {
        Plan {
            binary,
            nodes,
            spare: 0,
            zones: 1,
            lease: None,
            servers: Vec::new(),
            streams: false,
            mesh: false,
            sockets: 256,
            folders: false,
            settings: crate::scripted::settings(),
            operator: String::new(),
            script,
        }
    }
}

/// What nodes are told of leases.
#[derive(Clone, Debug)]
pub struct LeasePlan {
    /// The first so many nodes vote.
    pub voters: usize,
    /// Further lines of the `[lease]` table.
    pub lines: String,
    /// Rates of nodes' lease clocks, in turn; true time where there is none.
    pub rates: Vec<f64>,
    /// Safeguards to go without, as `drill.without` names them.
    pub without: Vec<&'static str>,
}

impl LeasePlan {
    /// Leases that live for 2 s, by true clocks and with all safeguards.
    pub fn new(voters: usize) -> Self {
        let lines = "ttl = \"2s\"\nround = \"200ms\"".to_owned();
        LeasePlan { voters, lines, rates: Vec::new(), without: Vec::new() }
    }

    /// The rate of a node's lease clock.
    pub fn rate(&self, node: usize) -> f64 {
        match self.rates.len() {
            0 => 1.0,
            turns => self.rates[node % turns],
        }
    }
}

impl Plan {
    /// The operator's file of a node at a place: what it listens on, where others see it, and all that is the same everywhere.
    pub(super) fn operator_file(
        &self,
        (place, node): (usize, usize),
        environment: &Environment,
        at: impl Fn(usize) -> std::io::Result<SocketAddr>,
    ) -> std::io::Result<String> {
        let seeds = (0..self.nodes.min(3)).map(&at).collect::<Result<Vec<_>, _>>()?;
        let zone = node * self.zones.max(1) / self.nodes.max(1);
        let own = wire::host(place, false);
        let mut file = format!(
            "[log]\njson = \"stderr\"\n[cluster]\nname = \"rig\"\nbind = \"{own}:0\"\nadvertise = \"{}\"\nseeds = {}\nzone = \"z{zone}\"\n",
            at(place)?, json!(seeds)
        );
        if let Some(lease) = &self.lease {
            let voters = (0..lease.voters).map(&at).collect::<Result<Vec<_>, _>>()?;
            let (rate, without) = (lease.rate(node), json!(lease.without));
            file += &format!(
                "[lease]\nvoters = {}\n{}\ndrill = {{ rate = {rate:?}, without = {without} }}\n",
                json!(voters),
                lease.lines
            );
        }
        if let Some(mesh) = environment.mesh {
            file += &format!(
                "[mesh]\nbind = \"{own}:0\"\nadvertise = \"{mesh}\"\nconnections = {}\n",
                self.sockets / 4
            );
        }
        let folder = environment.folder.as_ref().map(|f| f.path().display().to_string()).unwrap_or_default();
        Ok(file + &self.operator.replace("{folder}", &folder))
    }
}

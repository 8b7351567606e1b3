//! Configuration of a rig.

use super::environment::Environment;
use super::wire;
use crate::script::Script;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What to build.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the node's binary.
    pub binary: PathBuf,
    /// Number of nodes that are started.
    pub nodes: usize,
    /// Number of further places, for second processes under a name.
    pub spare: usize,
    /// Number of zones; each is a range of nodes.
    pub zones: usize,
    /// Leases, if the nodes take part in them.
    pub lease: Option<LeasePlan>,
    /// Servers that discovery lists. If empty, twenty addresses where nothing listens.
    pub servers: Vec<SocketAddr>,
    /// Proxies connections too, without which a script can't cut `servers`, `discovery` and `clients`.
    pub streams: bool,
    /// Gives the nodes a mesh, which is proxied: what a script cuts between nodes is cut for the mesh too.
    pub mesh: bool,
    /// Descriptor limit of each process; a quarter is for its mesh.
    pub sockets: usize,
    /// Gives each place a folder that outlives its processes.
    pub folders: bool,
    /// Settings of the site.
    pub settings: Value,
    /// Text appended to the operator's file; `{folder}` is replaced by the place's folder.
    pub operator: String,
    /// The faults and the random seed.
    pub script: Script,
}

impl Plan {
    /// Nodes in one zone, without leases, whose servers do not exist.
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

/// Lease configuration of the nodes.
#[derive(Clone, Debug)]
pub struct LeasePlan {
    /// Number of voters, which are the first nodes.
    pub voters: usize,
    /// Further lines of the `[lease]` table.
    pub lines: String,
    /// Rates of the nodes' lease clocks, assigned in rotation; 1 if empty.
    pub rates: Vec<f64>,
    /// Safeguards to disable, as named by `drill.without`.
    pub without: Vec<&'static str>,
}

impl LeasePlan {
    /// Leases that live for 2 s, with accurate clocks and all safeguards.
    pub fn new(voters: usize) -> Self {
        let lines = "ttl = \"2s\"\nround = \"200ms\"".to_owned();
        LeasePlan { voters, lines, rates: Vec::new(), without: Vec::new() }
    }

    /// Rate of a node's lease clock.
    pub fn rate(&self, node: usize) -> f64 {
        match self.rates.len() {
            0 => 1.0,
            turns => self.rates[node % turns],
        }
    }
}

impl Plan {
    /// Returns the operator's file of a node at a place: its own addresses, and the tables that are the same for all
    /// nodes.
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

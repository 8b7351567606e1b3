//! The node under test, as a process of its own.

use super::{member, settings, within, Connection, Message, Peer, Watch};
use crate::process::{self, ConfigFile};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr};

/// Memory limit in the node's configuration, enough for 128 clients with large bodies.
pub const MEMORY_MB: u64 = 64;

/// A node's process; it is killed on drop.
pub struct Node {
    child: Child,
    log: Option<BufReader<ChildStderr>>,
    /// Address of the HTTP listener.
    pub address: SocketAddr,
    config: Value,
    file: ConfigFile,
}

/// Resident memory of a process in KiB.
#[derive(Clone, Copy, Debug)]
pub struct MemoryInUse {
    /// Heap and stacks.
    pub anonymous_kib: u64,
    /// Pages of the program and its libraries.
    pub file_kib: u64,
}

impl MemoryInUse {
    /// All of it, in KiB.
    pub fn resident(self) -> u64 {
        self.anonymous_kib + self.file_kib
    }
}

/// Reads a figure in kB from a process's status.
fn read_kib(status: &str, name: &str) -> u64 {
    let value = status.lines().find_map(|line| line.strip_prefix(name)).expect("its memory");
    value.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Starts a process with this configuration. The returned file must outlive the start.
pub fn start(config: &str) -> (Child, ConfigFile) {
    start_with_env(config, &[])
}

/// Like [`start`], with further environment variables.
pub fn start_with_env(config: &str, variables: &[(&str, &str)]) -> (Child, ConfigFile) {
    let config = ConfigFile::new(config).expect("a configuration file");
    let binary = process::node_binary().expect("this program's path");
    (process::start(&binary, &config, variables).expect("a process"), config)
}

/// Makes an operator's call of one line and returns the whole reply.
pub async fn call(operators: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(operators).await.expect("a connection");
    stream.write_all(format!("{line}\n").as_bytes()).await.expect("a call");
    let mut answer = String::new();
    within("a reply to an operator's call", stream.read_to_string(&mut answer)).await.expect("an answer");
    answer
}

impl Node {
    /// Starts a node with these settings and descriptor limit, and no servers.
    pub async fn start(discovery: &Peer, settings: Value, sockets: u32) -> Self {
        Node::start_at(([127, 0, 0, 1], 0).into(), discovery, settings, sockets).await
    }

    /// Like [`Node::start`], at a given address.
    pub async fn start_at(address: SocketAddr, discovery: &Peer, settings: Value, sockets: u32) -> Self {
        let config = json!({
            "name": "n", "listen": address.to_string(), "discovery": discovery.address().to_string(), "seed": "1f",
            "limits": {"sockets": sockets, "memory_mb": MEMORY_MB}, "settings": settings,
        });
        Node::with_config(config, &[]).await
    }

    /// Starts a node with a complete configuration and further environment variables.
    pub async fn with_config(config: Value, variables: &[(&str, &str)]) -> Self {
        let (child, file) = start_with_env(&config.to_string(), variables);
        Node::started(child, file, config).await
    }

    async fn started(mut child: Child, file: ConfigFile, config: Value) -> Self {
        let log = child.stderr.take().map(BufReader::new);
        let mut node = Node { child, log, address: ([127, 0, 0, 1], 0).into(), config, file };
        let line = node.wait_for_log("listening on ").await;
        node.address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        node
    }

    /// Starts a node that inherits a listening socket as descriptor 5.
    pub async fn inheriting(
        listener: &std::net::TcpListener,
        config: Value,
        variables: &[(&str, &str)],
    ) -> Self {
        let file = ConfigFile::new(&config.to_string()).expect("a configuration file");
        let binary = process::node_binary().expect("this program's path");
        let socket = listener.as_fd().try_clone_to_owned().expect("a descriptor");
        let variables: Vec<_> = variables.iter().copied().chain([("GW_SOCKET_FD", "5")]).collect();
        let child = process::start_inheriting(&binary, &file, &variables, Some((5, socket)));
        Node::started(child.expect("a process"), file, config).await
    }

    /// Reads the address of the operators' listener from the log. Call it once, before any other part of the log is
    /// read.
    pub async fn ops_address(&mut self) -> SocketAddr {
        let line = self.wait_for_log("operators call ").await;
        line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address")
    }

    /// Starts a node with the default settings and waits until it has applied a list of these servers.
    pub async fn serving(servers: &[(&str, &Peer)]) -> (Self, Peer, Watch) {
        Node::serving_with_settings(settings(), servers).await
    }

    /// Like [`Node::serving`], with other settings.
    pub async fn serving_with_settings(settings: Value, servers: &[(&str, &Peer)]) -> (Self, Peer, Watch) {
        Node::serving_with_sockets(1024, settings, servers).await
    }

    /// Like [`Node::serving_with_settings`], with a descriptor limit.
    pub async fn serving_with_sockets(
        sockets: u32,
        settings: Value,
        servers: &[(&str, &Peer)],
    ) -> (Self, Peer, Watch) {
        let servers: Vec<_> = servers.iter().map(|(id, server)| (*id, server.address())).collect();
        Node::serving_at(sockets, settings, &servers).await
    }

    /// Like [`Node::serving_with_sockets`], with servers at any addresses.
    pub async fn serving_at(
        sockets: u32,
        settings: Value,
        servers: &[(&str, SocketAddr)],
    ) -> (Self, Peer, Watch) {
        let discovery = Peer::new().await;
        let node = Node::start(&discovery, settings, sockets).await;
        let (mut watch, _) = discovery.watch().await;
        let members: Vec<Value> =
            servers.iter().map(|(id, address)| member(id, *address, "active")).collect();
        watch.list(1, true, &members).await;
        node.wait_until_ready().await;
        (node, discovery, watch)
    }

    /// Waits until the node reports that it is ready.
    pub async fn wait_until_ready(&self) {
        let ready = async {
            while self.get("/health/ready").await.status() != 200 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        within("the node to become ready", ready).await;
    }

    /// Waits until the node has applied the list of this revision.
    pub async fn wait_for_list(&self, revision: u64) {
        let expected = format!("list {revision}\n");
        let applied = async {
            while self.get("/health/live").await.body != expected.as_bytes() {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        within("the list to be applied", applied).await;
    }

    /// Changes one value of the configuration file and makes the node read it again.
    pub async fn reconfigure(&mut self, key: &str, value: Value) {
        self.config[key] = value;
        let text = self.config.to_string();
        self.replace_config(&text).await;
    }

    /// Replaces the text of the configuration file and makes the node read it again.
    pub async fn replace_config(&self, text: &str) {
        self.file.replace(text).expect("a configuration file");
        self.signal("HUP").await;
    }

    /// Opens a client connection to the node.
    pub async fn client(&self) -> Connection {
        Connection::connect(self.address).await
    }

    /// Sends a GET on a new connection and returns the response.
    pub async fn get(&self, path: &str) -> Message {
        let mut client = self.client().await;
        client.write(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")).await;
        client.read().await.expect("an answer")
    }

    /// Reads the log up to the first line that contains this text, and returns that line.
    pub async fn wait_for_log(&mut self, text: &str) -> String {
        let log = self.log.as_mut().expect("its log");
        loop {
            let mut line = String::new();
            let read = within("a line of the log", log.read_line(&mut line)).await.expect("its log");
            assert!(read > 0, "the log ended before {text:?}");
            if line.contains(text) {
                return line.trim_end().to_owned();
            }
        }
    }

    /// Closes the read end of the node's log.
    pub fn close_log(&mut self) {
        self.log = None;
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> usize {
        let pid = self.child.id().expect("it runs");
        std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors").count()
    }

    /// Peak resident memory in KiB.
    pub fn memory_peak(&self) -> u64 {
        read_kib(&self.status(), "VmHWM:")
    }

    /// Resident memory now.
    pub fn memory(&self) -> MemoryInUse {
        let status = self.status();
        MemoryInUse { anonymous_kib: read_kib(&status, "RssAnon:"), file_kib: read_kib(&status, "RssFile:") }
    }

    fn status(&self) -> String {
        let pid = self.child.id().expect("it runs");
        std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status")
    }

    /// CPU time used so far.
    pub fn cpu_time(&self) -> Duration {
        process::cpu_time(self.child.id().expect("it runs"))
    }

    /// Sends a signal by name, such as `HUP`.
    pub async fn signal(&self, signal: &str) {
        within("kill", process::signal(&self.child, signal)).await.expect("it runs");
    }

    /// Waits until the process exits.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        within("the node's end", self.child.wait()).await.expect("its status")
    }
}

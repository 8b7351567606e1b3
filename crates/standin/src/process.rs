//! Processes of nodes: configuration files, logs, signals, and what `/proc` says of them.

use command_fds::{CommandFdExt, FdMapping};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{OwnedFd, RawFd};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tempfile::TempDir;
use tokio::process::{Child, Command};
use tokio::signal::unix::{signal as unix_signal, SignalKind};
use tokio::task::LocalSet;

/// Held while a process is spawned and while a socket is closed. Between fork and exec a child holds copies of all
/// sockets of tests that run in parallel, so a socket that is closed meanwhile stays open for its peer: the close would
/// be seen late, and a connection that should be refused would be accepted.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

pub(crate) fn lock_spawning() -> MutexGuard<'static, ()> {
    SPAWN_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Path of the node's binary, which cargo puts beside the programs and tests of the workspace.
pub fn node_binary() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join("birchswitch"))
}

/// A configuration file in a temporary folder that is removed on drop.
#[derive(Debug)]
pub struct ConfigFile(TempDir);

impl ConfigFile {
    /// Writes the file into a new folder.
    pub fn new(text: &str) -> io::Result<Self> {
        let file = ConfigFile(tempfile::tempdir()?);
        file.replace(text)?;
        Ok(file)
    }

    /// Path of the file.
    pub fn path(&self) -> PathBuf {
        self.0.path().join("config.json")
    }

    /// Overwrites the file.
    pub fn replace(&self, text: &str) -> io::Result<()> {
        std::fs::write(self.path(), text)
    }
}

/// Starts a node whose environment holds only the path of its configuration and `variables`. Its standard error is
/// piped; the process is killed on drop.
pub fn start(binary: &Path, config: &ConfigFile, variables: &[(&str, &str)]) -> io::Result<Child> {
    start_inheriting(binary, config, variables, None)
}

/// Like [`start`], with a socket that the process inherits under the given descriptor.
pub fn start_inheriting(
    binary: &Path,
    config: &ConfigFile,
    variables: &[(&str, &str)],
    socket: Option<(RawFd, OwnedFd)>,
) -> io::Result<Child> {
    let mut command = Command::new(binary);
    command.env_clear().envs(variables.iter().copied()).env("GW_CONFIG", config.path());
    command.stderr(Stdio::piped()).kill_on_drop(true);
    if let Some((child_fd, parent_fd)) = socket {
        let mapped = command.as_std_mut().fd_mappings(vec![FdMapping { parent_fd, child_fd }]);
        mapped.map_err(io::Error::other)?;
    }
    let _guard = lock_spawning();
    command.spawn()
}

/// Runs a future to completion on this thread, inside a `LocalSet`. Tasks that it left running are dropped with it. On
/// SIGINT or SIGTERM the future is dropped too, and the result is an error of kind `Interrupted`.
pub fn block_on<T>(future: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let (mut interrupt, mut terminate) =
            (unix_signal(SignalKind::interrupt())?, unix_signal(SignalKind::terminate())?);
        tokio::select! {
            value = future => Ok(value),
            _ = interrupt.recv() => Err(io::ErrorKind::Interrupted.into()),
            _ = terminate.recv() => Err(io::ErrorKind::Interrupted.into()),
        }
    })
}

/// CPU time of a process's first thread.
pub fn cpu_time(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    Duration::from_nanos(text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0))
}

/// Returns whether a process exists and is not a zombie.
pub fn is_running(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    status.contains(") ") && !status.contains(") Z")
}

/// Parses the address that follows `words` in a log line.
pub(crate) fn address_after(line: &str, words: &str) -> Option<SocketAddr> {
    line.split(words).nth(1)?.trim().parse().ok()
}

/// Appends a line to a log and drops the oldest lines beyond 4096 bytes.
pub(crate) fn append_log(log: &RefCell<String>, line: &str) {
    let mut log = log.borrow_mut();
    log.push_str(line);
    log.push('\n');
    while log.len() > 4096 {
        let end = log.find('\n').map_or(log.len(), |at| at + 1);
        log.drain(..end);
    }
}

/// Sends a signal by name, such as `HUP`.
pub async fn signal(child: &Child, name: &str) -> io::Result<()> {
    let ended = || io::Error::new(io::ErrorKind::NotFound, "the process has exited");
    let pid = child.id().ok_or_else(ended)?.to_string();
    let mut kill = {
        let _guard = lock_spawning();
        Command::new("kill").args(["-s", name, &pid]).spawn()?
    };
    kill.wait().await?.success().then_some(()).ok_or_else(ended)
}

//! A node's process: its configuration in a file of its own, its log, signals.

use command_fds::{CommandFdExt, FdMapping};
use std::io;
use std::os::fd::{OwnedFd, RawFd};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Mutex, MutexGuard};
use tempfile::TempDir;
use tokio::process::{Child, Command};

/// Held while a process starts and while a socket is closed. Between fork and exec a child holds copies of all sockets
/// of the tests beside it, so that one closed meanwhile stays open for its peer: a closing would come late, and a
/// connection that is to be refused would be taken.
static STARTING: Mutex<()> = Mutex::new(());

pub(crate) fn nothing_starts() -> MutexGuard<'static, ()> {
    STARTING.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The node's binary, which cargo puts beside every program and test of the workspace that it builds.
pub fn node_binary() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join("birchswitch"))
}

/// A configuration file in a folder that goes when this is dropped.
#[derive(Debug)]
pub struct ConfigFile(TempDir);

impl ConfigFile {
    /// Writes it.
    pub fn new(text: &str) -> io::Result<Self> {
        let file = ConfigFile(tempfile::tempdir()?);
        file.replace(text)?;
        Ok(file)
    }

    /// Where it is.
    pub fn path(&self) -> PathBuf {
        self.0.path().join("config.json")
    }

    /// Writes it anew.
    pub fn replace(&self, text: &str) -> io::Result<()> {
        std::fs::write(self.path(), text)
    }
}

/// Starts a node with nothing in its environment but its configuration and these variables. Its log is piped; it is
/// killed when dropped.
pub fn start(binary: &Path, config: &ConfigFile, variables: &[(&str, &str)]) -> io::Result<Child> {
    start_inheriting(binary, config, variables, None)
}

/// The same, with a socket that the process inherits under a number of its own.
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
    let _guard = nothing_starts();
    command.spawn()
}

/// Sends a signal by name, such as `HUP`.
pub async fn signal(child: &Child, name: &str) -> io::Result<()> {
    let ended = || io::Error::new(io::ErrorKind::NotFound, "the process has ended");
    let pid = child.id().ok_or_else(ended)?.to_string();
    let mut kill = {
        let _guard = nothing_starts();
        Command::new("kill").args(["-s", name, &pid]).spawn()?
    };
    kill.wait().await?.success().then_some(()).ok_or_else(ended)
}

//! Servers suspended by hand, stored on disk for the next process.
//!
//! A ban is an empty file named after its server. Creating and removing a file are atomic and idempotent: two processes
//! that overlap may both be called, in any order, and neither overwrites what the other one stored. The bans are read
//! by listing the folder.

use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Escapes everything that has a meaning in paths.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_');
/// Maximum number of suspended servers.
const MAX_BANS: usize = 4096;
/// Maximum length of a file name on common file systems.
const MAX_FILE_NAME: usize = 255;

/// Why a ban could not be stored or removed.
#[derive(Debug, thiserror::Error)]
pub enum BanError {
    /// An error from the file system.
    #[error("{path}: {source}")]
    Io {
        /// The folder or the file in it.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// The server's id is empty, or too long for a file name.
    #[error("the id is too long to be kept")]
    TooLong,
    /// The maximum number of bans is reached.
    #[error("{MAX_BANS} servers are out already")]
    TooMany,
}

/// A change made by another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BanChange {
    /// The server's id.
    pub server: String,
    /// Whether the server is suspended now.
    pub suspended: bool,
}

/// The set of suspended servers, and the folder that stores it.
#[derive(Debug, Default)]
pub struct Bans {
    folder: Option<PathBuf>,
    servers: BTreeSet<String>,
}

impl Bans {
    /// Loads the bans in this folder, which is created if it does not exist. Without a folder, bans end with the
    /// process.
    pub fn open(folder: Option<PathBuf>) -> Result<Self, BanError> {
        if let Some(path) = &folder {
            fs::create_dir_all(path).map_err(|source| BanError::Io { path: path.clone(), source })?;
        }
        let mut bans = Bans { folder, servers: BTreeSet::new() };
        bans.refresh()?;
        Ok(bans)
    }

    /// The ids of the suspended servers, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.servers.iter().map(String::as_str)
    }

    /// Whether this server is suspended.
    pub fn contains(&self, name: &str) -> bool {
        self.servers.contains(name)
    }

    /// Suspends a server. The ban is stored when this returns; on an error nothing has changed.
    pub fn add(&mut self, name: &str) -> Result<(), BanError> {
        if self.servers.len() >= MAX_BANS && !self.contains(name) {
            return Err(BanError::TooMany);
        }
        if let Some(path) = self.file(name)? {
            let created = fs::OpenOptions::new().create(true).append(true).open(&path);
            created.map_err(|source| BanError::Io { path, source })?;
        }
        self.servers.insert(name.to_owned());
        Ok(())
    }

    /// Ends a server's suspension. On an error nothing has changed.
    pub fn remove(&mut self, name: &str) -> Result<(), BanError> {
        if let Some(path) = self.file(name)? {
            match fs::remove_file(&path) {
                Err(source) if source.kind() != io::ErrorKind::NotFound => {
                    return Err(BanError::Io { path, source });
                }
                _ => {}
            }
        }
        self.servers.remove(name);
        Ok(())
    }

    /// Loads the changes that other processes have made. Files whose names are not valid ids are ignored.
    pub fn refresh(&mut self) -> Result<Vec<BanChange>, BanError> {
        let Some(path) = &self.folder else { return Ok(Vec::new()) };
        let servers = list(path).map_err(|source| BanError::Io { path: path.clone(), source })?;
        let added =
            servers.difference(&self.servers).map(|id| BanChange { server: id.clone(), suspended: true });
        let removed =
            self.servers.difference(&servers).map(|id| BanChange { server: id.clone(), suspended: false });
        let changes = added.chain(removed).collect();
        self.servers = servers;
        Ok(changes)
    }

    /// The file that stores a ban. `None` without a folder.
    fn file(&self, name: &str) -> Result<Option<PathBuf>, BanError> {
        let Some(folder) = &self.folder else { return Ok(None) };
        let file = utf8_percent_encode(name, ESCAPED).to_string();
        match file.len() {
            1..=MAX_FILE_NAME => Ok(Some(folder.join(file))),
            _ => Err(BanError::TooLong),
        }
    }
}

/// Reads the ids of the banned servers from the folder's file names.
fn list(folder: &Path) -> io::Result<BTreeSet<String>> {
    let mut names = BTreeSet::new();
    for entry in fs::read_dir(folder)?.take(MAX_BANS) {
        let file = entry?.file_name();
        let name = file.to_str().and_then(|f| percent_decode_str(f).decode_utf8().ok());
        names.extend(name.map(|n| n.into_owned()));
    }
    Ok(names)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A folder, and two processes that use it.
    fn two_processes() -> (tempfile::TempDir, Bans, Bans) {
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let open = || Bans::open(Some(folder.path().join("bans"))).expect("open the bans");
        let (old, new) = (open(), open());
        (folder, old, new)
    }

    #[test]
    fn bans_outlive_the_process_and_are_idempotent() {
        let (folder, mut old, _) = two_processes();
        old.add("s-1").expect("store the ban");
        old.add("s-1").expect("store the ban");
        drop(old);
        let mut new = Bans::open(Some(folder.path().join("bans"))).expect("open the bans");
        assert!(new.contains("s-1"));
        new.remove("s-1").expect("remove the ban");
        assert_eq!(Bans::open(Some(folder.path().join("bans"))).expect("open the bans").names().count(), 0);
    }

    #[test]
    fn changes_by_one_process_reach_the_other() {
        let (_folder, mut old, mut new) = two_processes();
        new.add("s-1").expect("store the ban");
        old.add("s-2").expect("store the ban");
        let change = |server: &str, suspended| BanChange { server: server.to_owned(), suspended };
        assert_eq!(old.refresh().expect("read the folder"), [change("s-1", true)]);
        assert_eq!(old.refresh().expect("read the folder"), []);
        old.remove("s-1").expect("remove the ban");
        assert_eq!(new.refresh().expect("read the folder"), [change("s-2", true), change("s-1", false)]);
    }

    #[test]
    fn a_ban_that_cannot_be_stored_changes_nothing() {
        let (folder, mut old, _) = two_processes();
        fs::remove_dir_all(folder.path().join("bans")).expect("remove the folder");
        assert!(matches!(old.add("s-1"), Err(BanError::Io { .. })));
        assert!(!old.contains("s-1"));
        assert!(matches!(old.add(&"é".repeat(200)), Err(BanError::TooLong)));
        assert!(matches!(old.add(""), Err(BanError::TooLong)));
    }

    proptest! {
        #[test]
        fn any_id_is_read_back_unchanged(server in "\\PC{1,20}|\\.\\.?|/etc|a/\\.\\./b") {
            let (folder, mut old, mut new) = two_processes();
            old.add(&server).expect("store the ban");
            prop_assert_eq!(new.refresh().expect("read the folder"), [BanChange { server, suspended: true }]);
            prop_assert_eq!(fs::read_dir(folder.path()).expect("read the folder").count(), 1, "no files outside");
        }
    }
}

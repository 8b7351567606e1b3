//! Servers taken out by hand, kept where the next process finds them.
//!
//! A ban is an empty file named after its server. Making and removing one are single steps for the file system, and saying
//! the same thing twice changes nothing: two processes that overlap may both be called, in any order, and neither
//! writes over what the other was told. Reading is listing the folder.

use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// What a name keeps as it is: nothing that a path could make something else of.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_');
/// Most that may be out at a time.
const MOST: usize = 4096;
/// Longest name of a file that file systems take.
const LONGEST: usize = 255;

/// Why a ban was not kept, or not ended.
#[derive(Debug, thiserror::Error)]
pub enum BanError {
    /// The folder or a file in it.
    #[error("{path}: {source}")]
    Io {
        /// Which.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The name does not fit into a file's.
    #[error("the id is too long to be kept")]
    TooLong,
    /// The bound on their number.
    #[error("{MOST} servers are out already")]
    TooMany,
}

/// What another process did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BanChange {
    /// The server.
    pub server: String,
    /// Whether it is out now.
    pub suspended: bool,
}

/// See the module's own words.
#[derive(Debug, Default)]
pub struct Bans {
    folder: Option<PathBuf>,
    names: BTreeSet<String>,
}

impl Bans {
    /// Keeps them in this folder, which is made where it is missing, and takes up those in it. Without a folder they
    /// end with the process.
    pub fn open(folder: Option<PathBuf>) -> Result<Self, BanError> {
        if let Some(path) = &folder {
            fs::create_dir_all(path).map_err(|source| BanError::Io { path: path.clone(), source })?;
        }
        let mut bans = Bans { folder, names: BTreeSet::new() };
        bans.refresh()?;
        Ok(bans)
    }

    /// Those out, in the order of their names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// Whether this one is out.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Takes one out. It is kept when this returns; on an error nothing has changed.
    pub fn add(&mut self, name: &str) -> Result<(), BanError> {
        if self.names.len() >= MOST && !self.contains(name) {
            return Err(BanError::TooMany);
        }
        if let Some(path) = self.file(name)? {
            let made = fs::OpenOptions::new().create(true).append(true).open(&path);
            made.map_err(|source| BanError::Io { path, source })?;
        }
        self.names.insert(name.to_owned());
        Ok(())
    }

    /// Lets one in again. On an error nothing has changed.
    pub fn remove(&mut self, name: &str) -> Result<(), BanError> {
        if let Some(path) = self.file(name)? {
            match fs::remove_file(&path) {
                Err(source) if source.kind() != io::ErrorKind::NotFound => {
                    return Err(BanError::Io { path, source });
                }
                _ => {}
            }
        }
        self.names.remove(name);
        Ok(())
    }

    /// Takes up what another process did since. Files that no process made are passed over.
    pub fn refresh(&mut self) -> Result<Vec<BanChange>, BanError> {
        let Some(path) = &self.folder else { return Ok(Vec::new()) };
        let names = list(path).map_err(|source| BanError::Io { path: path.clone(), source })?;
        let came =
            names.difference(&self.names).map(|name| BanChange { server: name.clone(), suspended: true });
        let went =
            self.names.difference(&names).map(|name| BanChange { server: name.clone(), suspended: false });
        let changes = came.chain(went).collect();
        self.names = names;
        Ok(changes)
    }

    fn file(&self, name: &str) -> Result<Option<PathBuf>, BanError> {
        let Some(folder) = &self.folder else { return Ok(None) };
        let file = utf8_percent_encode(name, ESCAPED).to_string();
        match file.len() {
            1..=LONGEST => Ok(Some(folder.join(file))),
            _ => Err(BanError::TooLong),
        }
    }
}

fn list(folder: &Path) -> io::Result<BTreeSet<String>> {
    let mut names = BTreeSet::new();
    for entry in fs::read_dir(folder)?.take(MOST) {
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

    fn both() -> (tempfile::TempDir, Bans, Bans) {
        let folder = tempfile::tempdir().expect("a folder");
        let open = || Bans::open(Some(folder.path().join("bans"))).expect("bans");
        let (old, new) = (open(), open());
        (folder, old, new)
    }

    #[test]
    fn a_ban_outlives_its_process_and_is_said_twice_but_ended_once() {
        let (folder, mut old, _) = both();
        old.add("s-1").expect("kept");
        old.add("s-1").expect("kept");
        drop(old);
        let mut new = Bans::open(Some(folder.path().join("bans"))).expect("bans");
        assert!(new.contains("s-1"));
        new.remove("s-1").expect("ended");
        assert_eq!(Bans::open(Some(folder.path().join("bans"))).expect("bans").names().count(), 0);
    }

    #[test]
    fn what_one_process_was_told_the_other_takes_up() {
        let (_folder, mut old, mut new) = both();
        new.add("s-1").expect("kept");
        old.add("s-2").expect("kept");
        let out = |name: &str, out| BanChange { server: name.to_owned(), suspended: out };
        assert_eq!(old.refresh().expect("read"), [out("s-1", true)]);
        assert_eq!(old.refresh().expect("read"), []);
        old.remove("s-1").expect("ended");
        assert_eq!(new.refresh().expect("read"), [out("s-2", true), out("s-1", false)]);
    }

    #[test]
    fn what_cannot_be_kept_changes_nothing() {
        let (folder, mut old, _) = both();
        fs::remove_dir_all(folder.path().join("bans")).expect("removed");
        assert!(matches!(old.add("s-1"), Err(BanError::Io { .. })));
        assert!(!old.contains("s-1"));
        assert!(matches!(old.add(&"é".repeat(200)), Err(BanError::TooLong)));
        assert!(matches!(old.add(""), Err(BanError::TooLong)));
    }

    proptest! {
        #[test]
        fn any_name_comes_back_as_it_was(name in "\\PC{1,20}|\\.\\.?|/etc|a/\\.\\./b") {
            let (folder, mut old, mut new) = both();
            old.add(&name).expect("kept");
            prop_assert_eq!(new.refresh().expect("read"), [BanChange { server: name, suspended: true }]);
            prop_assert_eq!(fs::read_dir(folder.path()).expect("read").count(), 1, "nothing beside the folder");
        }
    }
}

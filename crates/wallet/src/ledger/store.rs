//! What a replica has on its disk: an embedded store (redb), every change one durable transaction.

use super::Record;
use redb::{Database, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const SNAPSHOT: TableDefinition<&str, &[u8]> = TableDefinition::new("snapshot");

/// How far a replica's log goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Token and index of its last record.
    pub last: (u64, u64),
    /// Token and index of the last record that its snapshot stands for.
    pub base: (u64, u64),
    /// It has never held anything.
    pub empty: bool,
}

/// Why the disk could not be had or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store says so.
    #[error("ledger {path}: {source}")]
    Store {
        /// The file.
        path: String,
        /// What it says.
        source: Box<redb::Error>,
    },
    /// The file is damaged, or a record in it.
    #[error("ledger {0}: it is damaged")]
    Corrupt(String),
    /// The file is as large as it may be.
    #[error("ledger {path}: {size} bytes, and no more than {most} may be taken")]
    Full {
        /// The file.
        path: String,
        /// Its size.
        size: u64,
        /// The most.
        most: u64,
    },
    /// The folder can't be had.
    #[error("ledger {path}: {source}")]
    Folder {
        /// The folder.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
}

/// See the module's words. Its calls block.
pub struct Store {
    path: PathBuf,
    most: u64,
    database: Database,
    head: Head,
    promised: u64,
}

impl Store {
    /// Opens the file in a folder, or makes it. It takes no more than `most` bytes.
    pub fn open(folder: &Path, most: u64) -> Result<Store, StoreError> {
        let named = |source| StoreError::Folder { path: folder.display().to_string(), source };
        std::fs::create_dir_all(folder).map_err(named)?;
        let path = folder.join("ledger.redb");
        // The library asserts some of what it finds in a file that was cut short.
        let opened = catch_unwind(AssertUnwindSafe(|| Database::create(&path)));
        let damaged = |_| StoreError::Corrupt(path.display().to_string());
        let database = opened.map_err(damaged)?.map_err(|e| wrong(&path, e))?;
        let mut store = Store { path, most, database, head: Head::default(), promised: 0 };
        store.write(|_, _, _| Ok(()))?;
        store.look()?;
        Ok(store)
    }

    /// How far it goes.
    pub fn head(&self) -> Head {
        self.head
    }

    /// The highest token that it promised.
    pub fn promised(&self) -> u64 {
        self.promised
    }

    fn write(
        &mut self,
        change: impl FnOnce(
            &mut redb::Table<&'static str, u64>,
            &mut redb::Table<u64, &'static [u8]>,
            &mut redb::Table<&'static str, &'static [u8]>,
        ) -> Result<(), redb::Error>,
    ) -> Result<(), StoreError> {
        let size = std::fs::metadata(&self.path).map_or(0, |m| m.len());
        if size > self.most {
            let path = self.path.display().to_string();
            return Err(StoreError::Full { path, size, most: self.most });
        }
        let write = || -> Result<(), redb::Error> {
            let transaction = self.database.begin_write()?;
            {
                let mut meta = transaction.open_table(META)?;
                let mut log = transaction.open_table(LOG)?;
                let mut snapshot = transaction.open_table(SNAPSHOT)?;
                change(&mut meta, &mut log, &mut snapshot)?;
            }
            Ok(transaction.commit()?)
        };
        write().map_err(|e| wrong(&self.path, e))
    }

    /// Reads how far it goes.
    fn look(&mut self) -> Result<(), StoreError> {
        let read = || -> Result<_, redb::Error> {
            let transaction = self.database.begin_read()?;
            let meta = transaction.open_table(META)?;
            let get = |key| Ok::<_, redb::Error>(meta.get(key)?.map_or(0, |v| v.value()));
            let log = transaction.open_table(LOG)?;
            let last = log.last()?.map(|(index, bytes)| (index.value(), bytes.value().to_vec()));
            Ok((get("promised")?, (get("base")?, get("base_token")?), last))
        };
        let (promised, (base, base_token), last) = read().map_err(|e| wrong(&self.path, e))?;
        let last = match last {
            None => (base_token, base),
            Some((index, bytes)) => (self.record(&bytes)?.token, index),
        };
        self.promised = promised;
        self.head = Head { last, base: (base_token, base), empty: last.1 == 0 };
        Ok(())
    }

    fn record(&self, bytes: &[u8]) -> Result<Record, StoreError> {
        postcard::from_bytes(bytes).map_err(|_| StoreError::Corrupt(self.path.display().to_string()))
    }

    /// Promises a token, for good.
    pub fn promise(&mut self, token: u64) -> Result<(), StoreError> {
        self.write(|meta, _, _| {
            meta.insert("promised", token)?;
            Ok(())
        })?;
        self.promised = token;
        Ok(())
    }

    /// The token of the record of that index; none: it is not there.
    pub fn token_at(&self, index: u64) -> Result<Option<u64>, StoreError> {
        for (token, at) in [self.head.last, self.head.base] {
            if index == at {
                return Ok(Some(token));
            }
        }
        Ok(self.records(index, 1)?.first().filter(|r| r.index == index).map(|r| r.token))
    }

    /// Holds these, and none else after the first of them.
    pub fn append(&mut self, token: u64, records: &[Record]) -> Result<(), StoreError> {
        let Some(first) = records.first().map(|r| r.index) else { return Ok(()) };
        let encoded: Result<Vec<(u64, Vec<u8>)>, _> =
            records.iter().map(|r| Ok((r.index, postcard::to_stdvec(r)?))).collect();
        let encoded =
            encoded.map_err(|_: postcard::Error| StoreError::Corrupt(self.path.display().to_string()))?;
        let last = self.head.last.1;
        self.write(|meta, log, _| {
            meta.insert("promised", token)?;
            for index in first..=last {
                log.remove(index)?;
            }
            for (index, bytes) in &encoded {
                log.insert(*index, bytes.as_slice())?;
            }
            Ok(())
        })?;
        self.promised = token;
        if let Some(record) = records.last() {
            self.head.last = (record.token, record.index);
            self.head.empty = false;
        }
        Ok(())
    }

    /// Holds a snapshot in the place of all up to that token and index, and what comes after it where it held that record.
    pub fn install(&mut self, token: u64, up_to: (u64, u64), bytes: &[u8]) -> Result<(), StoreError> {
        let (last, keeps) = (self.head.last.1, self.token_at(up_to.1)? == Some(up_to.0));
        let end = if keeps { up_to.1 } else { last };
        let from = self.head.base.1;
        self.write(|meta, log, snapshot| {
            meta.insert("promised", token)?;
            meta.insert("base", up_to.1)?;
            meta.insert("base_token", up_to.0)?;
            for index in from..=end {
                log.remove(index)?;
            }
            snapshot.insert("state", bytes)?;
            Ok(())
        })?;
        self.promised = token;
        self.look()
    }

    /// Its snapshot.
    pub fn snapshot(&self) -> Result<Vec<u8>, StoreError> {
        let read = || -> Result<_, redb::Error> {
            let transaction = self.database.begin_read()?;
            let table = transaction.open_table(SNAPSHOT)?;
            let bytes = table.get("state")?.map(|b| b.value().to_vec());
            Ok(bytes.unwrap_or_default())
        };
        read().map_err(|e| wrong(&self.path, e))
    }

    /// Records from an index on, at most so many.
    pub fn records(&self, from: u64, most: usize) -> Result<Vec<Record>, StoreError> {
        let read = || -> Result<Vec<Vec<u8>>, redb::Error> {
            let transaction = self.database.begin_read()?;
            let log = transaction.open_table(LOG)?;
            let range = log.range(from..)?.take(most);
            range.map(|r| Ok(r?.1.value().to_vec())).collect()
        };
        let bytes = read().map_err(|e| wrong(&self.path, e))?;
        bytes.iter().map(|b| self.record(b)).collect()
    }
}

fn wrong(path: &Path, source: impl Into<redb::Error>) -> StoreError {
    StoreError::Store { path: path.display().to_string(), source: Box::new(source.into()) }
}

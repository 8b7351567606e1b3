//! A replica's storage: an embedded database (redb). Every change is one durable transaction.

use super::Record;
use redb::{Database, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const SNAPSHOT: TableDefinition<&str, &[u8]> = TableDefinition::new("snapshot");

/// The position of a replica's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Token and index of its last record.
    pub last: (u64, u64),
    /// Token and index of the last record that its snapshot covers.
    pub base: (u64, u64),
    /// The replica has never stored a record.
    pub empty: bool,
}

/// Why the storage could not be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An error of the database.
    #[error("ledger {path}: {source}")]
    Store {
        /// The file.
        path: String,
        /// The database's error.
        source: Box<redb::Error>,
    },
    /// The file or a record in it is corrupt.
    #[error("ledger {0}: it is damaged")]
    Corrupt(String),
    /// The file has reached its size limit.
    #[error("ledger {path}: {size} bytes, and no more than {max_bytes} may be taken")]
    Full {
        /// The file.
        path: String,
        /// Its size.
        size: u64,
        /// The limit.
        max_bytes: u64,
    },
    /// The folder could not be created.
    #[error("ledger {path}: {source}")]
    Folder {
        /// The folder.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
}

/// A replica's storage. All calls block.
pub struct Store {
    path: PathBuf,
    max_bytes: u64,
    database: Database,
    head: Head,
    promised: u64,
}

impl Store {
    /// Opens or creates the file in a folder. Writes fail once it is larger than `max_bytes`.
    pub fn open(folder: &Path, max_bytes: u64) -> Result<Store, StoreError> {
        let folder_error = |source| StoreError::Folder { path: folder.display().to_string(), source };
        std::fs::create_dir_all(folder).map_err(folder_error)?;
        let path = folder.join("ledger.redb");
        // redb panics on some truncated files.
        let opened = catch_unwind(AssertUnwindSafe(|| Database::create(&path)));
        let damaged = |_| StoreError::Corrupt(path.display().to_string());
        let database = opened.map_err(damaged)?.map_err(|e| store_error(&path, e))?;
        let mut store = Store { path, max_bytes, database, head: Head::default(), promised: 0 };
        store.write(|_, _, _| Ok(()))?;
        store.load_head()?;
        Ok(store)
    }

    /// The position of the log.
    pub fn head(&self) -> Head {
        self.head
    }

    /// The highest token that the replica has promised.
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
        if size > self.max_bytes {
            let path = self.path.display().to_string();
            return Err(StoreError::Full { path, size, max_bytes: self.max_bytes });
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
        write().map_err(|e| store_error(&self.path, e))
    }

    /// Loads the promised token and the log's position from the database.
    fn load_head(&mut self) -> Result<(), StoreError> {
        let read = || -> Result<_, redb::Error> {
            let transaction = self.database.begin_read()?;
            let meta = transaction.open_table(META)?;
            let get = |key| Ok::<_, redb::Error>(meta.get(key)?.map_or(0, |v| v.value()));
            let log = transaction.open_table(LOG)?;
            let last = log.last()?.map(|(index, bytes)| (index.value(), bytes.value().to_vec()));
            Ok((get("promised")?, (get("base")?, get("base_token")?), last))
        };
        let (promised, (base, base_token), last) = read().map_err(|e| store_error(&self.path, e))?;
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

    /// Promises a token durably.
    pub fn promise(&mut self, token: u64) -> Result<(), StoreError> {
        self.write(|meta, _, _| {
            meta.insert("promised", token)?;
            Ok(())
        })?;
        self.promised = token;
        Ok(())
    }

    /// The token of the record at an index. `None`: there is no such record.
    pub fn token_at(&self, index: u64) -> Result<Option<u64>, StoreError> {
        for (token, at) in [self.head.last, self.head.base] {
            if index == at {
                return Ok(Some(token));
            }
        }
        Ok(self.records(index, 1)?.first().filter(|r| r.index == index).map(|r| r.token))
    }

    /// Appends records, removing all stored records from the first one's index on.
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

    /// Replaces all records up to that token and index by a snapshot. Later records are kept if the log contained that record.
    pub fn install(&mut self, token: u64, up_to: (u64, u64), bytes: &[u8]) -> Result<(), StoreError> {
        let (last, holds_record) = (self.head.last.1, self.token_at(up_to.1)? == Some(up_to.0));
        let end = if holds_record { up_to.1 } else { last };
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
        self.load_head()
    }

    /// The stored snapshot.
    pub fn snapshot(&self) -> Result<Vec<u8>, StoreError> {
        let read = || -> Result<_, redb::Error> {
            let transaction = self.database.begin_read()?;
            let table = transaction.open_table(SNAPSHOT)?;
            let bytes = table.get("state")?.map(|b| b.value().to_vec());
            Ok(bytes.unwrap_or_default())
        };
        read().map_err(|e| store_error(&self.path, e))
    }

    /// Up to `limit` records from an index on.
    pub fn records(&self, from: u64, limit: usize) -> Result<Vec<Record>, StoreError> {
        let read = || -> Result<Vec<Vec<u8>>, redb::Error> {
            let transaction = self.database.begin_read()?;
            let log = transaction.open_table(LOG)?;
            let range = log.range(from..)?.take(limit);
            range.map(|r| Ok(r?.1.value().to_vec())).collect()
        };
        let bytes = read().map_err(|e| store_error(&self.path, e))?;
        bytes.iter().map(|b| self.record(b)).collect()
    }
}

fn store_error(path: &Path, source: impl Into<redb::Error>) -> StoreError {
    StoreError::Store { path: path.display().to_string(), source: Box::new(source.into()) }
}

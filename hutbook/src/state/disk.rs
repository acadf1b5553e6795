//! The data folder of a node: its id, term and vote, log, and snapshot.
//!
//! Everything but texts is in one redb file. `write` commits a batch of operations as one transaction, which is
//! durable when it returns.

use super::entry::{to_bytes, Entry, EntryPayload, Member, Members, Snapshot};
use super::snapshot_data::SnapshotData;
use super::texts::{StoredTexts, TextFiles, TextOp};
use crate::constants::{DISK_CACHE_BYTES, DISK_CHUNK_BYTES, DISK_VERSION};
use bytes::Bytes;
use redb::{Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum DiskOp {
    Meta {
        term: u64,
        voted: Option<u64>,
    },
    /// Replaces all entries at or after the first entry's index.
    Append {
        entries: Vec<Entry>,
    },
    /// Stores a snapshot and deletes the log entries that it covers; with `clear`, the whole log.
    Snapshot {
        snapshot: Arc<Snapshot>,
        clear: bool,
    },
    /// Writes of texts that the state refers to, and deletions of unused segments. Durable with the next snapshot.
    Texts(Vec<TextOp>),
    /// Bytes of a segment received from another member, for a snapshot that is being received or for a text that
    /// was lost here.
    StageTexts {
        segment: u32,
        offset: u32,
        bytes: Bytes,
    },
}

impl DiskOp {
    fn retains_segments(&self) -> bool {
        matches!(self, DiskOp::Texts(ops) if ops.iter().any(|op| matches!(op, TextOp::RetainSegments(_))))
    }
}

/// The persisted state that a node reads when it starts.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub struct PersistedState {
    pub term: u64,
    pub voted: Option<u64>,
    pub entries: Vec<Entry>,
    pub snapshot: Option<Snapshot>,
}

impl PersistedState {
    /// Returns the initial state of a group with one founding member: a membership entry and a first command.
    pub fn bootstrap(id: u64, addr: &str, first: Option<Vec<u8>>) -> PersistedState {
        PersistedState::bootstrap_with(&[Member { id, addr: addr.into() }], first)
    }

    /// Returns the initial state of a group with several founding members. It is the same for each of them: the
    /// same members in the same order, the same first command, term 1 and no vote. So any of them can be elected
    /// first.
    pub fn bootstrap_with(voters: &[Member], first: Option<Vec<u8>>) -> PersistedState {
        let mut voters = voters.to_vec();
        voters.sort();
        voters.dedup();
        let members = EntryPayload::Members(Members { voters, learners: vec![] });
        let payloads = std::iter::once(members).chain(first.map(EntryPayload::Command));
        let entries = payloads.zip(1..).map(|(what, index)| Entry { index, term: 1, payload: what }).collect();
        PersistedState { term: 1, entries, ..PersistedState::default() }
    }

    /// Applies `op`, as writing it to disk would.
    pub fn apply(&mut self, op: &DiskOp) {
        match op {
            DiskOp::Meta { term, voted } => (self.term, self.voted) = (*term, *voted),
            DiskOp::Append { entries } => {
                if let Some(first) = entries.first() {
                    self.entries.retain(|entry| entry.index < first.index);
                }
                self.entries.extend(entries.iter().cloned());
            }
            DiskOp::Snapshot { snapshot, clear } => {
                self.entries.retain(|entry| !clear && entry.index > snapshot.index);
                self.snapshot = Some((**snapshot).clone());
            }
            // segments are not read at a start
            DiskOp::Texts(_) | DiskOp::StageTexts { .. } => {}
        }
    }
}

#[derive(Debug)]
pub enum DiskError {
    /// The folder belongs to something else or is damaged; the text says what to do.
    Refused(String),
    /// An I/O error, as of a full or failing disk: a retry may succeed.
    Failed(String),
}

impl std::fmt::Display for DiskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DiskError::Refused(s) | DiskError::Failed(s) => f.write_str(s),
        }
    }
}

impl From<redb::Error> for DiskError {
    fn from(error: redb::Error) -> Self {
        match &error {
            // these two mean that the file is not a database or is truncated: a retry doesn't help
            redb::Error::Io(io_error)
                if !matches!(io_error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
            {
                DiskError::Failed(error.to_string())
            }
            redb::Error::PreviousIo | redb::Error::DatabaseClosed => DiskError::Failed(error.to_string()),
            redb::Error::DatabaseAlreadyOpen => {
                DiskError::Refused("another process has it open; end that one, or give this one its own folder".into())
            }
            _ => {
                let message = "can't be read as a data folder";
                DiskError::Refused(format!(
                    "{message} ({error}); start with an empty folder and let the group refill it"
                ))
            }
        }
    }
}

impl DiskError {
    fn with_path(self, path: &Path) -> DiskError {
        let path = path.display();
        match self {
            DiskError::Refused(message) => DiskError::Refused(format!("{path}: {message}")),
            DiskError::Failed(message) => DiskError::Failed(format!("{path}: {message}")),
        }
    }
}

const FACTS: TableDefinition<&str, u64> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const BLOBS: TableDefinition<&str, &[u8]> = TableDefinition::new("blobs");
/// Chunks of the snapshot's data, in order. A single value took memory and space many times its size.
const CHUNKS: TableDefinition<u64, &[u8]> = TableDefinition::new("pieces");

/// Opens or creates the database file; tests use a faulty disk as its backend.
type Opener = Box<dyn Fn(&Path) -> Result<Database, DatabaseError> + Send>;

/// Verifies the checksum of every page each time a folder is opened, not only after a crash.
fn builder(cache_bytes: usize) -> redb::Builder {
    let mut builder = Database::builder();
    builder.set_check_integrity_on_open(true);
    builder.set_cache_size(cache_bytes);
    builder
}

/// Returns the folder of the database file.
fn folder_of(path: &Path) -> &Path {
    path.parent().unwrap_or(Path::new("."))
}

pub struct Disk {
    path: PathBuf,
    opener: Opener,
    db: Option<Database>,
    texts: TextFiles,
    pub id: u64,
    pub cluster: u64,
}

impl Disk {
    /// Opens the folder, or initializes an empty one with a node id from `draw_id`.
    pub fn open(dir: &Path, kind: u64, draw_id: impl Fn() -> u64) -> Result<Disk, DiskError> {
        Disk::open_with_cache(dir, kind, DISK_CACHE_BYTES, draw_id)
    }

    /// Like `open`, with `cache_bytes` of memory for the file's pages.
    pub fn open_with_cache(
        dir: &Path,
        kind: u64,
        cache_bytes: usize,
        draw_id: impl Fn() -> u64,
    ) -> Result<Disk, DiskError> {
        let io_error = |e: std::io::Error| DiskError::Failed(format!("{}: {e}", dir.display()));
        std::fs::create_dir_all(dir).map_err(io_error)?;
        let (path, unfinished_path) = (dir.join("hut.redb"), dir.join("hut.redb.new"));
        let opener = || Box::new(move |p: &Path| builder(cache_bytes).create(p));
        // an unreadable folder must not be taken for an empty one
        if path.try_exists().map_err(io_error)? {
            return Disk::open_with(path, opener(), false, kind, draw_id);
        }
        // removes a file whose initialization was interrupted, by a full disk or a kill: nothing was acknowledged
        // from it
        match std::fs::remove_file(&unfinished_path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(io_error(e)),
            _ => {}
        }
        // a folder with other files belongs to something else
        if std::fs::read_dir(dir).map_err(io_error)?.next().is_some() {
            let message =
                format!("{}: holds files but no hut.redb; give an empty folder or the right one", dir.display());
            return Err(DiskError::Refused(message));
        }
        let mut disk = Disk::open_with(unfinished_path.clone(), opener(), true, kind, draw_id)?;
        std::fs::rename(&unfinished_path, &path).map_err(io_error)?;
        disk.path = path;
        // makes the rename durable
        std::fs::File::open(dir).and_then(|folder| folder.sync_all()).map_err(io_error)?;
        Ok(disk)
    }

    /// Opens the folder of a founding member. A new folder gets the id by which the other founding members know it;
    /// an existing one keeps its id.
    pub fn open_bootstrap_member(dir: &Path, kind: u64, id: u64) -> Result<Disk, DiskError> {
        Disk::open(dir, kind, || id)
    }

    fn open_with(
        path: PathBuf,
        opener: Opener,
        is_new: bool,
        kind: u64,
        draw_id: impl Fn() -> u64,
    ) -> Result<Disk, DiskError> {
        let texts = TextFiles::in_folder(folder_of(&path));
        let mut disk = Disk { path, opener, db: None, texts, id: 0, cluster: 0 };
        if is_new {
            disk.initialize(kind, draw_id())?;
        }
        disk.verify(kind)?;
        Ok(disk)
    }

    /// Runs `f` with the open database. After a failure the file is reopened before the next attempt.
    fn with<T>(&mut self, operation: impl FnOnce(&Database) -> Result<T, redb::Error>) -> Result<T, DiskError> {
        let result = match self.db.take() {
            Some(db) => Ok(db),
            None => (self.opener)(&self.path).map_err(redb::Error::from),
        };
        let result = result.and_then(|db| operation(&db).map(|value| (value, db)));
        let (value, db) = result.map_err(|error| DiskError::from(error).with_path(&self.path))?;
        self.db = Some(db);
        Ok(value)
    }

    fn initialize(&mut self, kind: u64, id: u64) -> Result<(), DiskError> {
        self.transact(|transaction| {
            let mut facts = transaction.open_table(FACTS)?;
            facts.insert("version", DISK_VERSION)?;
            facts.insert("kind", kind)?;
            facts.insert("id", id)?;
            transaction.open_table(LOG)?;
            transaction.open_table(BLOBS)?;
            Ok(())
        })
    }

    fn verify(&mut self, kind: u64) -> Result<(), DiskError> {
        let path = self.path.display().to_string();
        let (version, stored_kind, id) =
            (self.read_number("version")?, self.read_number("kind")?, self.read_number("id")?);
        if !version.is_some_and(|version| (1..=DISK_VERSION).contains(&version)) {
            let message = format!(
                "{path}: stored format {version:?}, this program reads {DISK_VERSION}; run the matching version"
            );
            return Err(DiskError::Refused(message));
        }
        if stored_kind != Some(kind) {
            return Err(DiskError::Refused(format!(
                "{path}: belongs to another kind of process; give it its own folder"
            )));
        }
        self.id =
            id.ok_or_else(|| DiskError::Refused(format!("{path}: holds no node id; start with an empty folder")))?;
        self.cluster = self.read_number("cluster")?.unwrap_or(0);
        Ok(())
    }

    fn transact(
        &mut self,
        operation: impl FnOnce(&redb::WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), DiskError> {
        self.with(|db| {
            let mut transaction = db.begin_write()?;
            transaction.set_durability(Durability::Immediate)?;
            // without it, a damaged last batch would be taken for one that was never written, and rolled back
            transaction.set_two_phase_commit(true);
            operation(&transaction)?;
            Ok(transaction.commit()?)
        })
    }

    pub fn read_number(&mut self, key: &str) -> Result<Option<u64>, DiskError> {
        self.with(|db| Ok(db.begin_read()?.open_table(FACTS)?.get(key)?.map(|value| value.value())))
    }

    pub fn write_number(&mut self, key: &str, value: u64) -> Result<(), DiskError> {
        self.transact(|transaction| {
            transaction.open_table(FACTS)?.insert(key, value)?;
            Ok(())
        })
    }

    /// Stores the cluster id, once: a folder never moves to another cluster.
    pub fn set_cluster(&mut self, cluster: u64) -> Result<(), DiskError> {
        self.write_number("cluster", cluster)?;
        self.cluster = cluster;
        Ok(())
    }

    /// Bootstraps a new group with this node as its only member, unless there is a log already.
    pub fn bootstrap_group(&mut self, addr: &str, first: Option<Vec<u8>>) -> Result<bool, DiskError> {
        self.bootstrap_group_of(&[Member { id: self.id, addr: addr.into() }], first)
    }

    /// Bootstraps a new group of these members, unless there is a log already or this node is not one of them.
    ///
    /// Why this can't result in two groups: all founding members write the same first entries, and a leader needs
    /// a majority of that same list, of which any two overlap. A folder bootstraps only once, because it has a log
    /// afterwards. An emptied folder is started without the first-start setting, so it gets a random id that is on
    /// no list and can only join. Different lists result in different cluster ids, and members of different
    /// clusters reject each other's frames.
    pub fn bootstrap_group_of(&mut self, members: &[Member], first: Option<Vec<u8>>) -> Result<bool, DiskError> {
        let state = self.load()?;
        if !state.entries.is_empty() || state.snapshot.is_some() || members.iter().all(|member| member.id != self.id) {
            return Ok(false);
        }
        let initial = PersistedState::bootstrap_with(members, first);
        self.write(&[
            DiskOp::Meta { term: initial.term, voted: initial.voted },
            DiskOp::Append { entries: initial.entries },
        ])?;
        Ok(true)
    }

    /// Reads a small named value that is stored beside the log, such as the last known controller addresses.
    pub fn read_blob(&mut self, key: &str) -> Result<Option<Vec<u8>>, DiskError> {
        self.with(|db| Ok(db.begin_read()?.open_table(BLOBS)?.get(key)?.map(|value| value.value().to_vec())))
    }

    pub fn write_blob(&mut self, key: &str, value: &[u8]) -> Result<(), DiskError> {
        self.transact(|transaction| {
            transaction.open_table(BLOBS)?.insert(key, value)?;
            Ok(())
        })
    }

    pub fn load(&mut self) -> Result<PersistedState, DiskError> {
        let path = self.path.display().to_string();
        let unreadable = |what: &str| {
            let message =
                format!("{path}: {what} can't be read; start with an empty folder and let the group refill it");
            DiskError::Refused(message)
        };
        let mut state = PersistedState { term: self.read_number("term")?.unwrap_or(0), ..PersistedState::default() };
        state.voted = self.read_number("voted")?.filter(|voted| *voted != 0);
        if let Some(snapshot) = self.read_blob("capture")? {
            let mut snapshot: Snapshot = minicbor::decode(&snapshot).map_err(|_| unreadable("the snapshot"))?;
            self.with(|db| {
                let chunks_table = match db.begin_read()?.open_table(CHUNKS) {
                    // in format 1 the data is part of the snapshot's blob
                    Err(redb::TableError::TableDoesNotExist(_)) => return Ok(()),
                    chunks_table => chunks_table?,
                };
                let chunks = chunks_table.iter()?.map(|kv| Ok(Bytes::copy_from_slice(kv?.1.value())));
                let chunks = chunks.collect::<Result<Vec<Bytes>, redb::Error>>()?;
                if !chunks.is_empty() {
                    snapshot.data = SnapshotData::from_chunks(chunks);
                }
                Ok(())
            })?;
            state.snapshot = Some(snapshot);
        }
        let entries = self.with(|db| {
            let log = db.begin_read()?.open_table(LOG)?;
            let entries = log.iter()?.map(|kv| Ok(minicbor::decode(kv?.1.value()).ok()));
            entries.collect::<Result<Option<Vec<Entry>>, redb::Error>>()
        })?;
        state.entries = entries.ok_or_else(|| unreadable("a log entry"))?;
        let mut next = state.snapshot.as_ref().map(|snapshot| snapshot.index + 1);
        for entry in &state.entries {
            if next.is_some_and(|expected| expected != entry.index) {
                return Err(unreadable("the log has a gap and"));
            }
            next = Some(entry.index + 1);
        }
        Ok(state)
    }

    /// Returns a reader of this folder's texts, which caches `cache_bytes` of the newest in memory.
    pub fn stored_texts(&self, cache_bytes: usize) -> StoredTexts {
        StoredTexts::in_folder(folder_of(&self.path), cache_bytes)
    }

    /// Carries out `ops`. They are durable when this returns, except for texts, which are durable once a snapshot
    /// after them is.
    pub fn write(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        let mut rest = ops;
        // segments of a replaced state are deleted only when the state that replaces it is on disk
        while let Some(index) = rest.iter().position(DiskOp::retains_segments) {
            let (before, from) = rest.split_at(index);
            self.write_batch(before)?;
            self.write_texts(&from[..1])?;
            rest = &from[1..];
        }
        self.write_batch(rest)
    }

    fn write_texts(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        let files = &mut self.texts;
        let written = ops.iter().try_for_each(|op| match op {
            DiskOp::Texts(ops) => ops.iter().try_for_each(|op| files.apply(op)),
            DiskOp::StageTexts { segment, offset, bytes } => files.rewrite_at(*segment, *offset, bytes),
            _ => Ok(()),
        });
        written.map_err(|error| self.texts_failed(error))
    }

    fn texts_failed(&self, error: std::io::Error) -> DiskError {
        DiskError::Failed(format!("texts beside {}: {error}", self.path.display()))
    }

    fn write_batch(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        self.write_texts(ops)?;
        if ops.iter().any(|op| matches!(op, DiskOp::Snapshot { .. })) {
            // the snapshot deletes the log entries that contain the texts, so these must be durable first
            self.texts.sync().map_err(|error| self.texts_failed(error))?;
        }
        if ops.iter().all(|op| matches!(op, DiskOp::Texts(_) | DiskOp::StageTexts { .. })) {
            return Ok(());
        }
        self.transact(|transaction| {
            for op in ops {
                match op {
                    DiskOp::Texts(_) | DiskOp::StageTexts { .. } => {}
                    DiskOp::Meta { term, voted } => {
                        let mut facts = transaction.open_table(FACTS)?;
                        facts.insert("term", *term)?;
                        facts.insert("voted", voted.unwrap_or(0))?;
                    }
                    DiskOp::Append { entries } => {
                        let mut log = transaction.open_table(LOG)?;
                        if let Some(first) = entries.first() {
                            log.retain_in(first.index.., |_, _| false)?;
                        }
                        for entry in entries {
                            log.insert(entry.index, to_bytes(entry).as_slice())?;
                        }
                    }
                    DiskOp::Snapshot { snapshot, clear } => {
                        let mut log = transaction.open_table(LOG)?;
                        let up_to = if *clear { u64::MAX } else { snapshot.index };
                        log.retain_in(..=up_to, |_, _| false)?;
                        let snapshot = &**snapshot;
                        let head =
                            Snapshot { members: snapshot.members.clone(), data: SnapshotData::default(), ..*snapshot };
                        transaction.open_table(BLOBS)?.insert("capture", to_bytes(&head).as_slice())?;
                        let mut chunks = transaction.open_table(CHUNKS)?;
                        chunks.retain(|_, _| false)?;
                        for (number, chunk) in (0..).zip(snapshot.data.chunks(DISK_CHUNK_BYTES)) {
                            chunks.insert(number, chunk.as_slice())?;
                        }
                        // an older version of the program would take the snapshot for an empty one
                        transaction.open_table(FACTS)?.insert("version", DISK_VERSION)?;
                    }
                }
            }
            Ok(())
        })
    }
}

#[cfg(test)]
mod tests;

//! The data folder of a node: who it is, its term and vote, its log, its snapshot.
//!
//! One redb file. A batch of operations is one transaction, and it is on disk
//! when `write` returns, not before.

use super::entry::{to_bytes, Entry, Member, Members, Snapshot, What};
use super::snapshot_data::SnapshotData;
use super::texts::{StoredTexts, TextFiles, TextOp};
use crate::constants::{DISK_CACHE_BYTES, DISK_PIECE_BYTES, DISK_VERSION};
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
    /// Replaces whatever stands at or after the first entry's index.
    Append {
        entries: Vec<Entry>,
    },
    /// Keeps a snapshot and drops the log it covers; `clear` drops the whole log.
    Snapshot {
        snapshot: Arc<Snapshot>,
        clear: bool,
    },
    /// Texts that the state names, and segments that it needs no more. On disk for good with the next snapshot.
    Texts(Vec<TextOp>),
    /// Bytes of a segment that come from another member: of a snapshot under way, or of a text that was lost here.
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

/// What a node finds when it starts.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub struct Boot {
    pub term: u64,
    pub voted: Option<u64>,
    pub entries: Vec<Entry>,
    pub snapshot: Option<Snapshot>,
}

impl Boot {
    /// What a group's founder starts from: itself as the only member, and a first command.
    pub fn founding(id: u64, addr: &str, first: Option<Vec<u8>>) -> Boot {
        Boot::founding_with(&[Member { id, addr: addr.into() }], first)
    }

    /// What each of several founders starts from: the same members in the same order, the same
    /// first command, term 1 and no vote given. So it makes no difference who is elected first.
    pub fn founding_with(voters: &[Member], first: Option<Vec<u8>>) -> Boot {
        let mut voters = voters.to_vec();
        voters.sort();
        voters.dedup();
        let members = What::Members(Members { voters, learners: vec![] });
        let whats = std::iter::once(members).chain(first.map(What::Command));
        let entries = whats.zip(1..).map(|(what, index)| Entry { index, term: 1, what }).collect();
        Boot { term: 1, entries, ..Boot::default() }
    }

    /// What is found after `op` has been written.
    pub fn take(&mut self, op: &DiskOp) {
        match op {
            DiskOp::Meta { term, voted } => (self.term, self.voted) = (*term, *voted),
            DiskOp::Append { entries } => {
                if let Some(e) = entries.first() {
                    self.entries.retain(|x| x.index < e.index);
                }
                self.entries.extend(entries.iter().cloned());
            }
            DiskOp::Snapshot { snapshot, clear } => {
                self.entries.retain(|x| !clear && x.index > snapshot.index);
                self.snapshot = Some((**snapshot).clone());
            }
            // segments are no part of what is read at a start
            DiskOp::Texts(_) | DiskOp::StageTexts { .. } => {}
        }
    }
}

#[derive(Debug)]
pub enum DiskError {
    /// The folder is not ours, or is damaged; says what to do about it.
    Refused(String),
    /// The disk said no, as full and failing ones do: the same may hold later.
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
    fn from(e: redb::Error) -> Self {
        match &e {
            // these two are told of a file that is no data file, or too short: trying again is no help
            redb::Error::Io(x) if !matches!(x.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) => {
                DiskError::Failed(e.to_string())
            }
            redb::Error::PreviousIo | redb::Error::DatabaseClosed => DiskError::Failed(e.to_string()),
            redb::Error::DatabaseAlreadyOpen => {
                DiskError::Refused("another process has it open; end that one, or give this one its own folder".into())
            }
            _ => {
                let s = "can't be read as a data folder";
                DiskError::Refused(format!("{s} ({e}); start with an empty folder and let the group refill it"))
            }
        }
    }
}

impl DiskError {
    fn at(self, path: &Path) -> DiskError {
        let p = path.display();
        match self {
            DiskError::Refused(s) => DiskError::Refused(format!("{p}: {s}")),
            DiskError::Failed(s) => DiskError::Failed(format!("{p}: {s}")),
        }
    }
}

const FACTS: TableDefinition<&str, u64> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const BLOBS: TableDefinition<&str, &[u8]> = TableDefinition::new("blobs");
/// A snapshot's data, in order. One value for it all took memory and space many times its size.
const PIECES: TableDefinition<u64, &[u8]> = TableDefinition::new("pieces");

/// How the folder's one file is opened or made; tests put a faulty disk beneath.
type Opener = Box<dyn Fn(&Path) -> Result<Database, DatabaseError> + Send>;

/// Every page's checksum is looked at when a folder is opened, not only after a crash.
fn builder(cache_bytes: usize) -> redb::Builder {
    let mut b = Database::builder();
    b.set_check_integrity_on_open(true);
    b.set_cache_size(cache_bytes);
    b
}

/// The folder in which the database lies.
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
    /// Opens the folder, or makes it when it is empty, drawing the node's id.
    pub fn open(dir: &Path, kind: u64, draw: impl Fn() -> u64) -> Result<Disk, DiskError> {
        Disk::open_within(dir, kind, DISK_CACHE_BYTES, draw)
    }

    /// Likewise, with so many bytes of memory for the file's pages.
    pub fn open_within(dir: &Path, kind: u64, cache_bytes: usize, draw: impl Fn() -> u64) -> Result<Disk, DiskError> {
        let io = |e: std::io::Error| DiskError::Failed(format!("{}: {e}", dir.display()));
        std::fs::create_dir_all(dir).map_err(io)?;
        let (path, young) = (dir.join("hut.redb"), dir.join("hut.redb.new"));
        let opener = || Box::new(move |p: &Path| builder(cache_bytes).create(p));
        // a folder that can't be looked at is not an empty one
        if path.try_exists().map_err(io)? {
            return Disk::over(path, opener(), false, kind, draw);
        }
        // one that a full disk or a kill kept from being finished has promised nothing
        match std::fs::remove_file(&young) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(io(e)),
            _ => {}
        }
        // a folder with other things in it is somebody else's
        if std::fs::read_dir(dir).map_err(io)?.next().is_some() {
            let s = format!("{}: holds files but no hut.redb; give an empty folder or the right one", dir.display());
            return Err(DiskError::Refused(s));
        }
        let mut d = Disk::over(young.clone(), opener(), true, kind, draw)?;
        std::fs::rename(&young, &path).map_err(io)?;
        d.path = path;
        // the file's own name must last as well
        std::fs::File::open(dir).and_then(|f| f.sync_all()).map_err(io)?;
        Ok(d)
    }

    /// Opens a founder's folder: on its first start it takes the id that the other founders
    /// know it by. A folder that is there already keeps the id it has.
    pub fn open_founder(dir: &Path, kind: u64, id: u64) -> Result<Disk, DiskError> {
        Disk::open(dir, kind, || id)
    }

    fn over(path: PathBuf, opener: Opener, fresh: bool, kind: u64, draw: impl Fn() -> u64) -> Result<Disk, DiskError> {
        let texts = TextFiles::in_folder(folder_of(&path));
        let mut d = Disk { path, opener, db: None, texts, id: 0, cluster: 0 };
        if fresh {
            d.found_folder(kind, draw())?;
        }
        d.check(kind)?;
        Ok(d)
    }

    /// Works on the open file. After a failure it is opened anew before the next try.
    fn with<T>(&mut self, f: impl FnOnce(&Database) -> Result<T, redb::Error>) -> Result<T, DiskError> {
        let r = match self.db.take() {
            Some(db) => Ok(db),
            None => (self.opener)(&self.path).map_err(redb::Error::from),
        };
        let r = r.and_then(|db| f(&db).map(|x| (x, db)));
        let (x, db) = r.map_err(|e| DiskError::from(e).at(&self.path))?;
        self.db = Some(db);
        Ok(x)
    }

    fn found_folder(&mut self, kind: u64, id: u64) -> Result<(), DiskError> {
        self.transact(|t| {
            let mut f = t.open_table(FACTS)?;
            f.insert("version", DISK_VERSION)?;
            f.insert("kind", kind)?;
            f.insert("id", id)?;
            t.open_table(LOG)?;
            t.open_table(BLOBS)?;
            Ok(())
        })
    }

    fn check(&mut self, kind: u64) -> Result<(), DiskError> {
        let p = self.path.display().to_string();
        let (v, k, id) = (self.fact("version")?, self.fact("kind")?, self.fact("id")?);
        if !v.is_some_and(|v| (1..=DISK_VERSION).contains(&v)) {
            let s = format!("{p}: stored format {v:?}, this program reads {DISK_VERSION}; run the matching version");
            return Err(DiskError::Refused(s));
        }
        if k != Some(kind) {
            return Err(DiskError::Refused(format!("{p}: belongs to another kind of process; give it its own folder")));
        }
        self.id = id.ok_or_else(|| DiskError::Refused(format!("{p}: holds no node id; start with an empty folder")))?;
        self.cluster = self.fact("cluster")?.unwrap_or(0);
        Ok(())
    }

    fn transact(
        &mut self,
        f: impl FnOnce(&redb::WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), DiskError> {
        self.with(|db| {
            let mut t = db.begin_write()?;
            t.set_durability(Durability::Immediate)?;
            // or a damaged last batch would be taken for one that was never written, and rolled back
            t.set_two_phase_commit(true);
            f(&t)?;
            Ok(t.commit()?)
        })
    }

    pub fn fact(&mut self, k: &str) -> Result<Option<u64>, DiskError> {
        self.with(|db| Ok(db.begin_read()?.open_table(FACTS)?.get(k)?.map(|v| v.value())))
    }

    pub fn set_fact(&mut self, k: &str, v: u64) -> Result<(), DiskError> {
        self.transact(|t| {
            t.open_table(FACTS)?.insert(k, v)?;
            Ok(())
        })
    }

    /// The cluster is learnt once; a folder never changes hands.
    pub fn set_cluster(&mut self, c: u64) -> Result<(), DiskError> {
        self.set_fact("cluster", c)?;
        self.cluster = c;
        Ok(())
    }

    /// Forms a new group with this node as its only member, unless there is a log already.
    pub fn found(&mut self, addr: &str, first: Option<Vec<u8>>) -> Result<bool, DiskError> {
        self.found_with(&[Member { id: self.id, addr: addr.into() }], first)
    }

    /// Forms a new group of these members, unless there is a log already or this node is none of them.
    ///
    /// What stops a second group: every founder writes the same first entries, and whoever leads
    /// needs a majority of that one list, of which any two overlap. A folder founds once, since it
    /// holds a log from then on; an emptied one is started without the first-start mark, draws
    /// an id that is on no list and can only join. Lists that differ give clusters that differ,
    /// which refuse each other's frames.
    pub fn found_with(&mut self, members: &[Member], first: Option<Vec<u8>>) -> Result<bool, DiskError> {
        let b = self.boot()?;
        if !b.entries.is_empty() || b.snapshot.is_some() || members.iter().all(|m| m.id != self.id) {
            return Ok(false);
        }
        let f = Boot::founding_with(members, first);
        self.write(&[DiskOp::Meta { term: f.term, voted: f.voted }, DiskOp::Append { entries: f.entries }])?;
        Ok(true)
    }

    /// Small named things kept beside the log, such as the last known core addresses.
    pub fn note(&mut self, k: &str) -> Result<Option<Vec<u8>>, DiskError> {
        self.with(|db| Ok(db.begin_read()?.open_table(BLOBS)?.get(k)?.map(|v| v.value().to_vec())))
    }

    pub fn set_note(&mut self, k: &str, v: &[u8]) -> Result<(), DiskError> {
        self.transact(|t| {
            t.open_table(BLOBS)?.insert(k, v)?;
            Ok(())
        })
    }

    pub fn boot(&mut self) -> Result<Boot, DiskError> {
        let path = self.path.display().to_string();
        let bad = |what: &str| {
            let s = format!("{path}: {what} can't be read; start with an empty folder and let the group refill it");
            DiskError::Refused(s)
        };
        let mut b = Boot { term: self.fact("term")?.unwrap_or(0), ..Boot::default() };
        b.voted = self.fact("voted")?.filter(|v| *v != 0);
        if let Some(c) = self.note("capture")? {
            let mut c: Snapshot = minicbor::decode(&c).map_err(|_| bad("the capture"))?;
            self.with(|db| {
                let t = match db.begin_read()?.open_table(PIECES) {
                    // a folder of version 1 has its snapshot whole
                    Err(redb::TableError::TableDoesNotExist(_)) => return Ok(()),
                    t => t?,
                };
                let pieces = t.iter()?.map(|kv| Ok(Bytes::copy_from_slice(kv?.1.value())));
                let pieces = pieces.collect::<Result<Vec<Bytes>, redb::Error>>()?;
                if !pieces.is_empty() {
                    c.data = SnapshotData::from_pieces(pieces);
                }
                Ok(())
            })?;
            b.snapshot = Some(c);
        }
        let entries = self.with(|db| {
            let l = db.begin_read()?.open_table(LOG)?;
            let it = l.iter()?.map(|kv| Ok(minicbor::decode(kv?.1.value()).ok()));
            it.collect::<Result<Option<Vec<Entry>>, redb::Error>>()
        })?;
        b.entries = entries.ok_or_else(|| bad("a log entry"))?;
        let mut next = b.snapshot.as_ref().map(|c| c.index + 1);
        for e in &b.entries {
            if next.is_some_and(|n| n != e.index) {
                return Err(bad("the log has a gap and"));
            }
            next = Some(e.index + 1);
        }
        Ok(b)
    }

    /// A reader of this folder's texts, with so many bytes of the newest in memory.
    pub fn stored_texts(&self, cache_bytes: usize) -> StoredTexts {
        StoredTexts::in_folder(folder_of(&self.path), cache_bytes)
    }

    /// Everything in `ops` is on disk when this returns; texts are so once a snapshot after them is.
    pub fn write(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        let mut rest = ops;
        // segments that a replaced state named go only once the state that replaces it is on disk
        while let Some(at) = rest.iter().position(DiskOp::retains_segments) {
            let (before, from) = rest.split_at(at);
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
        written.map_err(|e| self.texts_failed(e))
    }

    fn texts_failed(&self, e: std::io::Error) -> DiskError {
        DiskError::Failed(format!("texts beside {}: {e}", self.path.display()))
    }

    fn write_batch(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        self.write_texts(ops)?;
        if ops.iter().any(|op| matches!(op, DiskOp::Snapshot { .. })) {
            // the log that still has the texts goes with it
            self.texts.sync().map_err(|e| self.texts_failed(e))?;
        }
        if ops.iter().all(|op| matches!(op, DiskOp::Texts(_) | DiskOp::StageTexts { .. })) {
            return Ok(());
        }
        self.transact(|t| {
            for op in ops {
                match op {
                    DiskOp::Texts(_) | DiskOp::StageTexts { .. } => {}
                    DiskOp::Meta { term, voted } => {
                        let mut f = t.open_table(FACTS)?;
                        f.insert("term", *term)?;
                        f.insert("voted", voted.unwrap_or(0))?;
                    }
                    DiskOp::Append { entries } => {
                        let mut l = t.open_table(LOG)?;
                        if let Some(e) = entries.first() {
                            l.retain_in(e.index.., |_, _| false)?;
                        }
                        for e in entries {
                            l.insert(e.index, to_bytes(e).as_slice())?;
                        }
                    }
                    DiskOp::Snapshot { snapshot, clear } => {
                        let mut l = t.open_table(LOG)?;
                        let upto = if *clear { u64::MAX } else { snapshot.index };
                        l.retain_in(..=upto, |_, _| false)?;
                        let c = &**snapshot;
                        let head = Snapshot { members: c.members.clone(), data: SnapshotData::default(), ..*c };
                        t.open_table(BLOBS)?.insert("capture", to_bytes(&head).as_slice())?;
                        let mut p = t.open_table(PIECES)?;
                        p.retain(|_, _| false)?;
                        for (n, x) in (0..).zip(c.data.chunks(DISK_PIECE_BYTES)) {
                            p.insert(n, x.as_slice())?;
                        }
                        // an older program would take it for an empty one
                        t.open_table(FACTS)?.insert("version", DISK_VERSION)?;
                    }
                }
            }
            Ok(())
        })
    }
}

#[cfg(test)]
mod tests {
    use super::super::unsteady::Unsteady;
    use super::*;
    use rstest::rstest;

    fn entry(index: u64, term: u64) -> Entry {
        Entry { index, term, what: What::Command(vec![index as u8]) }
    }

    fn folder(name: &str) -> PathBuf {
        let d = std::env::temp_dir().join(format!("corkdrum-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&d);
        d
    }

    #[test]
    fn what_was_written_is_read_back_and_identity_stays() {
        // given a new folder with a log, a replaced tail and a snapshot
        let d = folder("disk");
        let mut k = Disk::open(&d, 1, || 77).unwrap();
        k.write(&[DiskOp::Append { entries: (1..=5).map(|i| entry(i, 1)).collect() }]).unwrap();
        k.write(&[DiskOp::Meta { term: 3, voted: Some(9) }, DiskOp::Append { entries: vec![entry(4, 3)] }]).unwrap();
        let c = Arc::new(Snapshot { index: 2, term: 1, members: Members::default(), data: vec![1, 2].into() });
        k.write(&[DiskOp::Snapshot { snapshot: c.clone(), clear: false }]).unwrap();
        drop(k);
        // when it is opened again
        let mut k = Disk::open(&d, 1, || 78).unwrap();
        let b = k.boot().unwrap();
        // then it is the same node with the same state
        assert_eq!((k.id, b.term, b.voted), (77, 3, Some(9)));
        assert_eq!(b.entries, vec![entry(3, 1), entry(4, 3)]);
        assert_eq!(b.snapshot, Some((*c).clone()));
        // and another kind of process is refused
        drop(k);
        assert!(matches!(Disk::open(&d, 2, || 1), Err(DiskError::Refused(_))));
        std::fs::remove_dir_all(&d).unwrap();
    }

    #[test]
    fn several_found_the_same_and_only_once() {
        // given three founders' folders, each told of the members in another order
        let mut m: Vec<Member> = [3, 1, 2].map(|id| Member { id, addr: format!("a{id}") }).into();
        let d = folder("founders");
        let mut boots = vec![];
        for id in 1..=3 {
            let mut k = Disk::open_founder(&d.join(id.to_string()), 1, id).unwrap();
            m.rotate_left(1);
            // when each founds
            assert!(k.found_with(&m, Some(vec![7])).unwrap());
            boots.push(k.boot().unwrap());
            // then it doesn't a second time, also after a start
            assert!(!k.found_with(&m, Some(vec![8])).unwrap());
            drop(k);
            let mut k = Disk::open_founder(&d.join(id.to_string()), 1, 99).unwrap();
            assert!(k.id == id && !k.found_with(&m, Some(vec![8])).unwrap());
        }
        // and all start from the same log, without a vote
        assert!(boots.iter().all(|b| *b == boots[0]));
        assert_eq!((boots[0].term, boots[0].voted, boots[0].entries.len()), (1, None, 2));
        // and one that is on no list founds nothing
        let mut k = Disk::open(&d.join("other"), 1, || 4).unwrap();
        assert!(!k.found_with(&m, None).unwrap() && k.boot().unwrap() == Boot::default());
        std::fs::remove_dir_all(&d).unwrap();
    }

    /// A run of a node: terms, entries that replace others, captures.
    fn recorded(n: u64) -> Vec<Vec<DiskOp>> {
        let (mut out, mut last, mut cut) = (vec![], 0, 0);
        for i in 1..=n {
            let mut ops = vec![];
            if i % 7 == 0 {
                ops.push(DiskOp::Meta { term: i, voted: Some(i * 3) });
            }
            // now and then a new leader replaces the tail
            let from = if i % 5 == 0 && last > cut + 2 { last - 1 } else { last + 1 };
            last = from + i % 4;
            let entries = (from..=last).map(|x| Entry { index: x, term: i, what: What::Command(vec![i as u8; 200]) });
            ops.push(DiskOp::Append { entries: entries.collect() });
            if i % 11 == 0 {
                cut = last - 1;
                // of one piece, or of some
                let data: Vec<u8> =
                    (0..9_000 + i % 2 * 2 * DISK_PIECE_BYTES as u64).map(|b| (b / 7 + i) as u8).collect();
                let snapshot = Snapshot { index: cut, term: i, members: Members::default(), data: data.into() };
                ops.push(DiskOp::Snapshot { snapshot: Arc::new(snapshot), clear: i % 22 == 0 });
                if i % 22 == 0 {
                    last = cut;
                }
            }
            out.push(ops);
        }
        out
    }

    fn over(u: &Unsteady, fresh: bool) -> Result<Disk, DiskError> {
        let u = u.clone();
        let open = move |_: &Path| builder(DISK_CACHE_BYTES).create_with_backend(u.clone());
        Disk::over(PathBuf::from("unsteady"), Box::new(open), fresh, 1, || 77)
    }

    /// A folder just made, as it stands on disk.
    fn made() -> Vec<u8> {
        let u = Unsteady::new(1, vec![]);
        drop(over(&u, true).unwrap());
        u.left()
    }

    fn after(b: &Boot, ops: &[DiskOp]) -> Boot {
        let mut b = b.clone();
        ops.iter().for_each(|o| b.take(o));
        b
    }

    #[rstest]
    fn power_goes_at_every_sync_of_a_run(#[values(1, 2, 3)] seed: u64) {
        // given a recorded run, and how many syncs it takes
        let (base, run) = (made(), recorded(24));
        let whole = Unsteady::new(seed, base.clone());
        let mut d = over(&whole, false).unwrap();
        run.iter().for_each(|ops| d.write(ops).unwrap());
        let syncs = whole.syncs();
        assert!(syncs >= 24, "{syncs}");
        for at in 1..=syncs {
            // when power goes in the middle of one of them
            let u = Unsteady::new(seed * 1_000 + at, base.clone());
            u.dies_at(at);
            let (mut said, mut next) = (Boot::default(), Boot::default());
            if let Ok(mut d) = over(&u, false) {
                for ops in &run {
                    next = after(&said, ops);
                    if d.write(ops).is_err() {
                        break;
                    }
                    said = next.clone();
                }
            }
            // then what was said to be written is there, whole, and nothing else but what was on its way
            let again = Unsteady::new(at, u.left());
            let mut d = over(&again, false).unwrap_or_else(|e| panic!("sync {at}: {e}"));
            let b = d.boot().unwrap_or_else(|e| panic!("sync {at}: {e}"));
            assert_eq!(d.id, 77);
            assert!(b == said || b == next, "sync {at}: neither what was said nor what came next");
        }
    }

    #[rstest]
    fn syncs_fail_and_space_runs_out_and_nothing_said_is_lost(#[values(1, 2, 3, 4)] seed: u64) {
        // given a run on a disk whose syncs fail, and which is full for a while
        let (run, u) = (recorded(40), Unsteady::new(seed, made()));
        let mut d = over(&u, false).unwrap();
        let (mut said, mut noes) = (Boot::default(), 0);
        for (i, ops) in run.iter().enumerate() {
            match (i as u64 + seed) % 5 {
                0 => u.fail_syncs(1 + seed % 3),
                2 => u.full(true),
                _ => {}
            }
            // when each batch is tried until it holds, as the writer does
            for n in 0.. {
                assert!(n < 20, "batch {i} never held");
                match d.write(ops) {
                    Ok(()) => break,
                    Err(_) => noes += 1,
                }
                if n == 3 {
                    u.full(false);
                }
            }
            u.full(false);
            said = after(&said, ops);
            // then it is there whole, also without power from here on
            let b = over(&Unsteady::new(i as u64, u.left()), false).unwrap().boot().unwrap();
            assert!(b == said, "batch {i} was lost or torn");
        }
        assert!(noes > 5, "the disk said no only {noes} times");
    }

    #[rstest]
    fn a_damaged_folder_is_never_taken_for_whole(#[values(1, 2)] seed: u64, #[values(true, false)] closed: bool) {
        // given a folder with a run in it, closed well or left by a kill
        let (run, u) = (recorded(30), Unsteady::new(seed, made()));
        let mut d = over(&u, false).unwrap();
        let said = run.iter().fold(Boot::default(), |b, ops| {
            d.write(ops).unwrap();
            after(&b, ops)
        });
        let image = if closed {
            drop(d);
            u.left()
        } else {
            u.left()
        };
        // when one byte of it changes
        let (mut refused, mut wrong) = (0, vec![]);
        for i in 0..400u64 {
            let mut x = image.clone();
            let at = (i.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed) as usize % x.len();
            x[at] ^= 1 << (i % 8);
            let found = over(&Unsteady::new(i, x), false).and_then(|mut d| d.boot().map(|b| (d.id, b)));
            match found {
                Ok((77, b)) if b == said => {}
                Ok(_) => wrong.push(at),
                Err(_) => refused += 1,
            }
        }
        // then it is refused, unless the byte meant nothing
        assert_eq!(wrong, Vec::<usize>::new(), "taken for whole; {refused} refused");
        assert!(refused > 0, "no byte meant anything");
    }

    #[rstest]
    fn a_folder_on_a_full_disk_comes_back_once_there_is_room(#[values(1, 2, 3)] seed: u64) {
        // given a folder with a run in it, left by a kill, on a disk that takes no more
        let (run, u) = (recorded(30), Unsteady::new(seed, made()));
        let mut d = over(&u, false).unwrap();
        let said = run.iter().fold(Boot::default(), |b, ops| {
            d.write(ops).unwrap();
            after(&b, ops)
        });
        let u = Unsteady::new(seed, u.left());
        u.jam(true);
        for _ in 0..5 {
            // when it is opened, then the disk is to blame, and nobody is told to empty the folder
            match over(&u, false) {
                Err(DiskError::Failed(s)) => assert!(!s.contains("empty"), "{s}"),
                Err(DiskError::Refused(s)) => panic!("refused: {s}"),
                Ok(_) => panic!("opened without a write"),
            }
        }
        // when there is room again, then it is whole
        u.jam(false);
        assert!(over(&u, false).unwrap().boot().unwrap() == said);
        // and one that runs out of room while it runs is whole as well, and takes the next batch
        let mut d = over(&u, false).unwrap();
        u.jam(true);
        assert!(matches!(d.set_note("cores", b"x"), Err(DiskError::Failed(_))));
        assert!(matches!(d.write(&run[0]), Err(DiskError::Failed(_))));
        u.jam(false);
        d.set_note("cores", b"x").unwrap();
        assert!(d.boot().unwrap() == said);
    }

    #[rstest]
    fn a_file_cut_short_is_refused(#[values(1, 2, 3)] seed: u64) {
        // given a folder whose file has lost its end
        let (run, u) = (recorded(30), Unsteady::new(seed, made()));
        let mut d = over(&u, false).unwrap();
        run.iter().for_each(|ops| d.write(ops).unwrap());
        let mut x = u.left();
        x.truncate(x.len() / 2 + seed as usize);
        // when it is opened on a disk that works, then trying again would not help
        match over(&Unsteady::new(seed, x), false) {
            Err(DiskError::Refused(s)) => assert!(s.contains("empty folder"), "{s}"),
            Err(DiskError::Failed(s)) => panic!("would be tried for ever: {s}"),
            Ok(_) => panic!("taken for whole"),
        }
    }

    #[test]
    fn a_folder_whose_making_was_broken_off_is_made_anew() {
        // given a folder in which a disk ran full before its file was finished
        let d = folder("half");
        std::fs::create_dir_all(&d).unwrap();
        std::fs::write(d.join("hut.redb.new"), vec![0u8; 9_000]).unwrap();
        // when it is opened, then it is a new node's, and stays that
        assert_eq!(Disk::open(&d, 1, || 77).unwrap().id, 77);
        assert_eq!(Disk::open(&d, 1, || 78).unwrap().id, 77);
        let names: Vec<_> = std::fs::read_dir(&d).unwrap().map(|e| e.unwrap().file_name()).collect();
        assert_eq!(names, ["hut.redb"]);
        std::fs::remove_dir_all(&d).unwrap();
    }

    #[test]
    fn a_folder_of_the_version_before_is_read_and_not_by_it_any_more() {
        // given a folder whose capture lies whole, as version 1 wrote it
        let u = Unsteady::new(1, made());
        let mut d = over(&u, false).unwrap();
        let data = (0..3 * DISK_PIECE_BYTES).map(|b| b as u8).collect::<Vec<u8>>().into();
        let c = Arc::new(Snapshot { index: 2, term: 1, members: Members::default(), data });
        d.transact(|t| {
            t.delete_table(PIECES)?;
            t.open_table(FACTS)?.insert("version", 1)?;
            t.open_table(BLOBS)?.insert("capture", to_bytes(&*c).as_slice())?;
            Ok(())
        })
        .unwrap();
        drop(d);
        // when it is opened, then its snapshot is there, and a new one takes its place
        let mut d = over(&u, false).unwrap();
        assert!(d.boot().unwrap().snapshot.as_ref() == Some(&*c));
        let c = Arc::new(Snapshot { index: 5, ..(*c).clone() });
        d.write(&[DiskOp::Snapshot { snapshot: c.clone(), clear: false }]).unwrap();
        assert!(d.boot().unwrap().snapshot.as_ref() == Some(&*c));
        assert_eq!(d.fact("version").unwrap(), Some(DISK_VERSION));
        // and a smaller one leaves nothing of it behind
        let c = Arc::new(Snapshot { index: 6, data: vec![7; 10].into(), ..(*c).clone() });
        d.write(&[DiskOp::Snapshot { snapshot: c.clone(), clear: false }]).unwrap();
        assert!(d.boot().unwrap().snapshot.as_ref() == Some(&*c));
    }

    #[test]
    fn a_foreign_or_damaged_folder_is_refused() {
        // given a folder with something else in it, and one with a broken file
        let d = folder("foreign");
        std::fs::create_dir_all(&d).unwrap();
        std::fs::write(d.join("notes.txt"), "x").unwrap();
        assert!(matches!(Disk::open(&d, 1, || 1), Err(DiskError::Refused(_))));
        std::fs::write(d.join("hut.redb"), vec![7u8; 9000]).unwrap();
        assert!(matches!(Disk::open(&d, 1, || 1), Err(DiskError::Refused(_))));
        std::fs::remove_dir_all(&d).unwrap();
    }
}

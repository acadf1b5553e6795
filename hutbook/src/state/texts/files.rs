//! Segments as files in a folder.

use super::{SegmentBytes, TextOp, TextPlace};
use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Name of the folder beside the database.
const FOLDER: &str = "texts";
const EXTENSION: &str = "segment";

/// Returns the folder of segments in a data folder.
pub fn texts_folder(data: &Path) -> PathBuf {
    data.join(FOLDER)
}

fn segment_path(folder: &Path, segment: u32) -> PathBuf {
    folder.join(format!("{segment:010}.{EXTENSION}"))
}

/// Reads a part of a segment's file. A file that is too short counts as missing.
pub fn read(folder: &Path, segment: u32, offset: u32, length: u32) -> SegmentBytes {
    let path = segment_path(folder, segment);
    let mut bytes = vec![0; length as usize];
    match File::open(&path).and_then(|file| file.read_exact_at(&mut bytes, offset.into())) {
        Ok(()) => SegmentBytes::Bytes(bytes),
        Err(error) => {
            if error.kind() != ErrorKind::NotFound {
                log::error!("{} at {offset}: {length} bytes can't be read: {error}", path.display());
            }
            SegmentBytes::Gone
        }
    }
}

/// Writes segments. Writes are not durable before `sync`.
pub struct TextFiles {
    folder: PathBuf,
    /// The last written segment with its open file.
    newest: Option<(u32, File)>,
    /// Segments written since the last sync.
    unsynced: BTreeSet<u32>,
    /// A file was created or removed since the last sync of the folder.
    folder_unsynced: bool,
}

impl TextFiles {
    /// Returns the segments of this data folder. The folder of segments is created by the first write.
    pub fn in_folder(data: &Path) -> TextFiles {
        TextFiles { folder: texts_folder(data), newest: None, unsynced: BTreeSet::new(), folder_unsynced: false }
    }

    /// Carries out a change. It is idempotent, also after a failure.
    pub fn apply(&mut self, op: &TextOp) -> Result<()> {
        match op {
            TextOp::Write { place, text } => self.write(place, text),
            TextOp::DropSegment(segment) => self.remove(*segment),
            TextOp::RetainSegments(segments) => self.retain(segments),
        }
    }

    /// Writes bytes of a segment, which may cover several texts.
    pub fn write_at(&mut self, segment: u32, offset: u32, bytes: &[u8]) -> Result<()> {
        if self.newest.as_ref().is_none_or(|(number, _)| *number != segment) {
            let file = self.open(segment)?;
            self.newest = Some((segment, file));
        }
        let (_, file) = self.newest.as_ref().expect("just opened");
        self.unsynced.insert(segment);
        let written = file.write_all_at(bytes, offset.into());
        self.discard_file_on_error(written)
    }

    /// Writes bytes that may replace lost ones. The file is opened again by name: the open one may have been removed or
    /// replaced by others, and writes to it would be lost as well.
    pub fn rewrite_at(&mut self, segment: u32, offset: u32, bytes: &[u8]) -> Result<()> {
        self.newest = None;
        self.write_at(segment, offset, bytes)
    }

    /// After a failure, closes the file so that it is reopened before the next write.
    fn discard_file_on_error<T>(&mut self, result: Result<T>) -> Result<T> {
        if result.is_err() {
            self.newest = None;
        }
        result
    }

    fn write(&mut self, place: &TextPlace, text: &[u8]) -> Result<()> {
        self.write_at(place.segment, place.offset, text)
    }

    fn open(&mut self, segment: u32) -> Result<File> {
        let path = segment_path(&self.folder, segment);
        let open = |create| OpenOptions::new().write(true).create(create).truncate(false).open(&path);
        match open(false) {
            Err(e) if e.kind() == ErrorKind::NotFound => {
                std::fs::create_dir_all(&self.folder)?;
                self.folder_unsynced = true;
                open(true)
            }
            opened => opened,
        }
    }

    fn remove(&mut self, segment: u32) -> Result<()> {
        self.newest.take_if(|(number, _)| *number == segment);
        self.unsynced.remove(&segment);
        match std::fs::remove_file(segment_path(&self.folder, segment)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn retain(&mut self, segments: &[u32]) -> Result<()> {
        let listed = match std::fs::read_dir(&self.folder) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(()),
            listed => listed?,
        };
        for entry in listed {
            let path = entry?.path();
            let number = path.file_stem().and_then(|number| number.to_str()).and_then(|number| number.parse().ok());
            match number {
                Some(number) if segments.contains(&number) => {}
                Some(number) => self.remove(number)?,
                None => log::warn!("{}: not a segment file; ignored", path.display()),
            }
        }
        Ok(())
    }

    /// Makes all writes and the names of the files durable.
    pub fn sync(&mut self) -> Result<()> {
        let synced = self.sync_all();
        self.discard_file_on_error(synced)
    }

    fn sync_all(&mut self) -> Result<()> {
        while let Some(segment) = self.unsynced.first().copied() {
            let path = segment_path(&self.folder, segment);
            let with_path = |e: Error| Error::new(e.kind(), format!("{}: {e}", path.display()));
            OpenOptions::new().write(true).open(&path).and_then(|file| file.sync_all()).map_err(with_path)?;
            self.unsynced.remove(&segment);
        }
        if self.folder_unsynced {
            File::open(&self.folder)?.sync_all()?;
            if let Some(data) = self.folder.parent() {
                File::open(data)?.sync_all()?;
            }
            self.folder_unsynced = false;
        }
        Ok(())
    }
}

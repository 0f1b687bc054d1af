//! The file operations of the journal, as traits so that tests can make each of them fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::path::Path;

/// The file system that the journal uses.
pub(crate) trait FileSystem {
    /// An open file.
    type File: AppendFile;

    /// Opens a file for reading and appending, and creates it if it is missing.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Renames a file, replacing an existing file at the new path.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// The length of a file in bytes.
    fn length(&self, path: &Path) -> io::Result<u64>;
}

/// An open file. Each write appends, whatever the read position is.
pub(crate) trait AppendFile: Read + Seek + Write {
    /// Shortens the file to this length.
    fn truncate(&self, length: u64) -> io::Result<()>;
}

/// The file system of the machine.
pub(crate) struct StandardFileSystem;

impl FileSystem for StandardFileSystem {
    type File = File;

    fn open(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).append(true).create(true).open(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn length(&self, path: &Path) -> io::Result<u64> {
        Ok(fs::metadata(path)?.len())
    }
}

impl AppendFile for File {
    fn truncate(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}

//! An in-memory file system that injects faults into operations selected by a test.

use super::super::file_system::{AppendFile, FileSystem};
use std::cell::{Ref, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// File lengths are rounded up to a multiple of this number when they count against the disk limit.
pub(super) const BLOCK_BYTES: u64 = 512;

/// What a failing operation does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// The operation has no effect and reports an error.
    Error,
    /// A write appends half of the bytes and reports an error. Other operations have no effect.
    PartialWrite,
    /// The operation takes effect and reports an error.
    ErrorAfterEffect,
    /// A signal interrupts the operation before it takes effect.
    Interrupted,
    /// A read or write transfers half of the bytes and reports their number. Other operations succeed.
    ShortTransfer,
}

/// The kind of an operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Operation {
    Open,
    Read,
    Write,
    Truncate,
    Rename,
    Remove,
    Length,
}

type Content = Rc<RefCell<Vec<u8>>>;

struct Disk {
    files: BTreeMap<PathBuf, Content>,
    /// Number of operations started so far.
    operations: usize,
    /// Whether the operation of this kind and number fails.
    is_faulty: Box<dyn Fn(Operation, usize) -> bool>,
    fault: Fault,
    /// Highest total length of all files so far, in whole blocks.
    peak_bytes: u64,
}

/// An in-memory file system. Clones share its files.
#[derive(Clone)]
pub(super) struct FaultyFileSystem(Rc<RefCell<Disk>>);

impl FaultyFileSystem {
    /// A file system with these files, on which every operation succeeds.
    pub(super) fn new(files: &[(PathBuf, Vec<u8>)]) -> Self {
        let contents = files.iter().map(|(path, bytes)| (path.clone(), Rc::new(RefCell::new(bytes.clone()))));
        FaultyFileSystem(Rc::new(RefCell::new(Disk {
            files: contents.collect(),
            operations: 0,
            is_faulty: Box::new(|_, _| false),
            fault: Fault::Error,
            peak_bytes: 0,
        })))
    }

    /// Makes each operation fail for whose kind and number `is_faulty` returns true.
    pub(super) fn fail_where(&self, fault: Fault, is_faulty: impl Fn(Operation, usize) -> bool + 'static) {
        let mut disk = self.0.borrow_mut();
        disk.fault = fault;
        disk.is_faulty = Box::new(is_faulty);
    }

    /// Makes all operations succeed from now on.
    pub(super) fn recover(&self) {
        self.fail_where(Fault::Error, |_, _| false);
    }

    /// The number of operations started so far.
    pub(super) fn operations(&self) -> usize {
        self.0.borrow().operations
    }

    /// The highest total length of all files so far, in bytes of whole blocks.
    pub(super) fn peak_bytes(&self) -> u64 {
        self.0.borrow().peak_bytes
    }

    /// The paths and contents of the files, as a process that starts now would read them.
    pub(super) fn snapshot(&self) -> Vec<(PathBuf, Vec<u8>)> {
        let disk = self.0.borrow();
        disk.files.iter().map(|(path, content)| (path.clone(), content.borrow().clone())).collect()
    }

    /// The fault of the next operation, if that operation fails.
    fn next_fault(&self, operation: Operation) -> Option<Fault> {
        let mut disk = self.0.borrow_mut();
        let number = disk.operations;
        disk.operations += 1;
        (disk.is_faulty)(operation, number).then_some(disk.fault)
    }

    /// Runs an operation that transfers no bytes.
    fn run<T>(&self, operation: Operation, effect: impl FnOnce(&mut Disk) -> io::Result<T>) -> io::Result<T> {
        let fault = self.next_fault(operation);
        if matches!(fault, None | Some(Fault::ErrorAfterEffect | Fault::ShortTransfer)) {
            let result = effect(&mut self.0.borrow_mut());
            return if fault == Some(Fault::ErrorAfterEffect) { Err(io_error()) } else { result };
        }
        Err(io_error())
    }

    fn update_peak(&self) {
        let mut disk = self.0.borrow_mut();
        let blocks = |content: &Content| (content.borrow().len() as u64).div_ceil(BLOCK_BYTES);
        let bytes = disk.files.values().map(blocks).sum::<u64>() * BLOCK_BYTES;
        disk.peak_bytes = disk.peak_bytes.max(bytes);
    }
}

impl FileSystem for FaultyFileSystem {
    type File = FaultyFile;

    fn open(&self, path: &Path) -> io::Result<FaultyFile> {
        let content =
            self.run(Operation::Open, |disk| Ok(disk.files.entry(path.to_owned()).or_default().clone()))?;
        Ok(FaultyFile { file_system: self.clone(), content, position: 0 })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.run(Operation::Rename, |disk| {
            let content = disk.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
            disk.files.insert(to.to_owned(), content);
            Ok(())
        })
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.run(Operation::Remove, |disk| {
            disk.files.remove(path).map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
        })
    }

    fn length(&self, path: &Path) -> io::Result<u64> {
        self.run(Operation::Length, |disk| {
            let content = disk.files.get(path).ok_or(io::ErrorKind::NotFound)?;
            let length = Ref::map(content.borrow(), Vec::as_slice).len();
            Ok(length as u64)
        })
    }
}

/// An open file. Its content stays accessible after the file is removed or replaced.
pub(super) struct FaultyFile {
    file_system: FaultyFileSystem,
    content: Content,
    /// Offset at which the next read starts.
    position: usize,
}

impl FaultyFile {
    /// How many of `length` bytes the next transfer moves, and the result that it reports.
    fn next_transfer(&self, operation: Operation, length: usize) -> (usize, io::Result<()>) {
        match self.file_system.next_fault(operation) {
            None => (length, Ok(())),
            Some(Fault::Error) => (0, Err(io_error())),
            Some(Fault::Interrupted) => (0, Err(io::ErrorKind::Interrupted.into())),
            Some(Fault::PartialWrite) => (length / 2, Err(io_error())),
            Some(Fault::ErrorAfterEffect) => (length, Err(io_error())),
            Some(Fault::ShortTransfer) => (length.div_ceil(2), Ok(())),
        }
    }
}

impl Read for FaultyFile {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let available = self.content.borrow().len().saturating_sub(self.position).min(buffer.len());
        let (length, result) = self.next_transfer(Operation::Read, available);
        result?;
        buffer[..length].copy_from_slice(&self.content.borrow()[self.position..self.position + length]);
        self.position += length;
        Ok(length)
    }
}

impl Write for FaultyFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (length, result) = self.next_transfer(Operation::Write, bytes.len());
        self.content.borrow_mut().extend_from_slice(&bytes[..length]);
        self.file_system.update_peak();
        result.map(|()| length)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Seek for FaultyFile {
    fn seek(&mut self, position: SeekFrom) -> io::Result<u64> {
        let SeekFrom::Start(position) = position else { return Err(io::ErrorKind::Unsupported.into()) };
        self.position = position as usize;
        Ok(position)
    }
}

impl AppendFile for FaultyFile {
    fn truncate(&self, length: u64) -> io::Result<()> {
        self.file_system.run(Operation::Truncate, |_| {
            self.content.borrow_mut().truncate(length as usize);
            Ok(())
        })
    }
}

fn io_error() -> io::Error {
    io::Error::other("fault injected by the test")
}

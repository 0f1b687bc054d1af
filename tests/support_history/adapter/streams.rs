//! The standard streams of the adapter, connected to the simulator.

use super::simulator::Simulator;
use std::cell::RefCell;
use std::io::{self, BufRead, Read, Write};
use std::rc::Rc;

/// The input of the adapter: each frame is written once the reply to the one before has been read.
pub(crate) struct Frames {
    simulator: Rc<RefCell<Simulator>>,
    frame: Vec<u8>,
    used: usize,
}

impl Frames {
    pub(crate) fn new(simulator: Rc<RefCell<Simulator>>) -> Self {
        Frames { simulator, frame: Vec::new(), used: 0 }
    }
}

impl Read for Frames {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.fill_buf()?.read(buffer)?;
        self.consume(count);
        Ok(count)
    }
}

impl BufRead for Frames {
    fn fill_buf(&mut self) -> io::Result<&[u8]> {
        if self.used == self.frame.len() {
            self.frame = self.simulator.borrow_mut().next_frame().into_bytes();
            self.used = 0;
        }
        Ok(&self.frame[self.used..])
    }

    fn consume(&mut self, count: usize) {
        self.used += count;
    }
}

/// The output of the adapter.
pub(crate) struct Replies(pub(crate) Rc<RefCell<Simulator>>);

impl Write for Replies {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().read_replies(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

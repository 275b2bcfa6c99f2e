//! Bytes of request bodies that were read from clients before an attempt has sent them, and the memory for them.
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Size of the blocks in which memory is taken and returned, in bytes. The connection of a client delivers no more than
/// this at a time.
pub(super) const BLOCK_BYTES: usize = 16 << 10;

/// The memory that the uploads of all clients share.
pub(crate) struct UploadMemory {
    /// Negative if frames were appended that did not fit.
    free_blocks: Cell<isize>,
}

impl UploadMemory {
    /// Creates a memory of this size.
    pub(crate) fn new(bytes: usize) -> Rc<Self> {
        let blocks = isize::try_from(bytes / BLOCK_BYTES).unwrap_or(isize::MAX);
        Rc::new(Self {
            free_blocks: Cell::new(blocks),
        })
    }

    /// Whether a block is free.
    fn has_space(&self) -> bool {
        self.free_blocks.get() > 0
    }

    fn take_block(&self) {
        self.free_blocks.update(|free| free - 1);
    }

    fn return_block(&self) {
        self.free_blocks.update(|free| free + 1);
    }
}

/// The bytes of one upload that no attempt has sent yet. They are copied into blocks, so that small frames take no more
/// memory than their bytes.
pub(super) struct UploadBuffer {
    /// In the order of the body. Only the last block has free space.
    blocks: VecDeque<BytesMut>,
    memory: Rc<UploadMemory>,
}

impl UploadBuffer {
    /// Creates an empty buffer that takes its blocks from `memory`.
    pub(super) fn new(memory: Rc<UploadMemory>) -> Self {
        Self {
            blocks: VecDeque::new(),
            memory,
        }
    }

    /// Whether there are no bytes.
    pub(super) fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Whether there is space for a frame. A frame that is longer than the space exceeds the memory by one block.
    pub(super) fn has_space(&self) -> bool {
        self.space_in_last_block() > 0 || self.memory.has_space()
    }

    /// Appends the bytes of a frame.
    pub(super) fn append(&mut self, mut frame: Bytes) {
        while !frame.is_empty() {
            if self.space_in_last_block() == 0 {
                self.memory.take_block();
                self.blocks.push_back(BytesMut::with_capacity(BLOCK_BYTES));
            }
            let length = frame.len().min(self.space_in_last_block());
            let part = frame.split_to(length);
            if let Some(last) = self.blocks.back_mut() {
                last.extend_from_slice(&part);
            }
        }
    }

    /// Removes the first bytes and returns their memory; none if there are no bytes.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front()?;
        self.memory.return_block();
        Some(block.freeze())
    }

    fn space_in_last_block(&self) -> usize {
        let last = self.blocks.back();
        last.map_or(0, |block| BLOCK_BYTES - block.len())
    }
}

impl Drop for UploadBuffer {
    fn drop(&mut self) {
        self.blocks.iter().for_each(|_| self.memory.return_block());
    }
}

#[cfg(test)]
mod tests;

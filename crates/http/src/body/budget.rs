//! Memory budgets in bytes for buffered bodies.

use birchswitch_memory::{MemoryLevel, MemoryPressure};
use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Size in bytes of the blocks in which hyper reads bodies. A part of a body keeps the whole block in memory.
const BLOCK: usize = 8 << 10;
/// Parts of a body below this size in bytes are copied, so that they don't keep a block.
const MIN_SHARED: usize = BLOCK / 2;
/// Memory in bytes that a buffered part needs beside its content.
const PART_OVERHEAD: usize = 256;

/// A memory budget in bytes, shared by all bodies that are buffered for one purpose.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    capacity: usize,
    left: Arc<AtomicUsize>,
    pressure: MemoryPressure,
}

impl BufferBudget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        BufferBudget::with_pressure(bytes, MemoryPressure::default())
    }

    /// Creates a budget of this many bytes that gives out nothing while the process's memory is short.
    pub fn with_pressure(bytes: usize, pressure: MemoryPressure) -> Self {
        BufferBudget { capacity: bytes, left: Arc::new(AtomicUsize::new(bytes)), pressure }
    }

    /// Returns how many bytes are reserved.
    pub fn reserved(&self) -> usize {
        self.capacity - self.left.load(Ordering::Relaxed)
    }

    /// Takes bytes out of the budget. `false`: it does not have them, or memory is short.
    fn take(&self, bytes: usize) -> bool {
        if bytes > 0 && self.pressure.level() >= MemoryLevel::High {
            return false;
        }
        let taken =
            self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(bytes));
        taken.is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.left.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Reserves bytes until the reservation is dropped. `None`: the budget does not have them.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.take(bytes).then(|| Reservation { budget: self.clone(), bytes })
    }

    /// Whether parts of large bodies may be kept or read ahead of their receiver.
    pub fn allows_read_ahead(&self) -> bool {
        self.pressure.level() < MemoryLevel::Elevated
    }

    /// Reserves what one more part of a body may need that is read ahead of its receiver.
    pub fn reserve_part(&self) -> Option<Reservation> {
        if !self.allows_read_ahead() {
            return None;
        }
        self.reserve(BLOCK + PART_OVERHEAD)
    }
}

/// A part of a budget, which is returned on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

impl Reservation {
    /// Returns what is reserved beyond this many bytes.
    fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget.give_back(surplus);
    }

    /// Reserves more, up to this many bytes in all. Returns `false` if the budget does not have them.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let grown = self.budget.take(missing);
        if grown {
            self.bytes += missing;
        }
        grown
    }

    /// Keeps the reservation for as long as any clone or slice of the bytes lives.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Makes a part of a body that was just received ready to be kept: a small one is copied out of the block that it was
/// read into. The reservation, if there is one, is reduced to what the part needs and attached to it.
pub fn keep(part: Bytes, reservation: Option<Reservation>) -> Bytes {
    let copied = part.len() < MIN_SHARED;
    let part = if copied { Bytes::copy_from_slice(&part) } else { part };
    let Some(mut reservation) = reservation else { return part };
    if copied {
        reservation.shrink(part.len() + PART_OVERHEAD);
    }
    reservation.attach(part)
}

#[cfg(test)]
mod tests;

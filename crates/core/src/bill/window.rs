//! Request ids that were billed, by time slot.

use {
    crate::{
        fault::{Fault, Kind},
        id::{HolderId, Sequence},
    },
    std::{
        collections::{BTreeMap, HashSet},
        hash::{BuildHasherDefault, Hasher},
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Prefix of the index objects.
pub const INDEX_PREFIX: &str = "ledger/index/";
/// Bytes of a fingerprint. Among the 192,000 ids of a slot of 60 s at 3,200 bills per second, a bill
/// is mistaken for a second one with a probability of 1 in 10^14, once in a thousand years.
pub const FINGERPRINT_BYTES: usize = size_of::<u64>();

/// Number of a time slot.
pub type Slot = u64;

/// Returns the prefix of the index objects of a slot.
pub fn index_prefix(slot: Slot) -> String {
    format!("{INDEX_PREFIX}{slot:012}/")
}

/// Returns the key of the index object of a batch.
pub fn index_key(slot: Slot, holder: &HolderId, first: Sequence) -> Arc<str> {
    format!("{}{holder}-{first:012}", index_prefix(slot)).into()
}

/// Returns the fingerprint of a request id.
pub fn fingerprint(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}

/// Passes a fingerprint through, because it is a hash already.
#[derive(Clone, Copy, Debug, Default)]
pub struct Identity(u64);

impl Hasher for Identity {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64(bytes);
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// A set of fingerprints.
pub type Set = HashSet<u64, BuildHasherDefault<Identity>>;

/// A cache of the index objects. A slot that is present is complete.
#[derive(Debug, Default)]
pub struct Window {
    slots: BTreeMap<Slot, Set>,
}

impl Window {
    /// Returns whether a slot is present.
    pub fn has(&self, slot: Slot) -> bool {
        self.slots.contains_key(&slot)
    }

    /// Returns whether a slot has a fingerprint.
    pub fn contains(&self, slot: Slot, fingerprint: u64) -> bool {
        let set = self.slots.get(&slot);
        set.is_some_and(|set| set.contains(&fingerprint))
    }

    /// Adds a slot from the contents of all its index objects.
    ///
    /// # Errors
    /// [`Kind::Internal`] when an object is not a sequence of fingerprints.
    pub fn load(&mut self, slot: Slot, objects: &[Vec<u8>]) -> Result<(), Fault> {
        let mut set = Set::default();
        for object in objects {
            let (words, rest) = object.as_chunks::<FINGERPRINT_BYTES>();
            if !rest.is_empty() {
                let message = format!("an index object of slot {slot} is cut short");
                return Err(Fault::new(Kind::Internal, message));
            }
            set.extend(words.iter().map(|word| u64::from_be_bytes(*word)));
        }
        self.slots.insert(slot, set);
        Ok(())
    }

    /// Adds fingerprints to a slot if it is present; otherwise a later load includes them.
    pub fn extend(&mut self, slot: Slot, fingerprints: &[u64]) {
        if let Some(set) = self.slots.get_mut(&slot) {
            set.extend(fingerprints);
        }
    }

    /// Returns the number of fingerprints in memory.
    pub fn len(&self) -> usize {
        self.slots.values().map(HashSet::len).sum()
    }

    /// Drops the oldest slots until at most `limit` fingerprints or one slot are left.
    pub fn trim(&mut self, limit: usize) {
        while self.len() > limit && self.slots.len() > 1 {
            self.slots.pop_first();
        }
    }
}

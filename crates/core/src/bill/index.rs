//! Index of the request ids that were billed, by time slot.

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

/// Key prefix of all index objects.
pub const INDEX_PREFIX: &str = "ledger/index/";
/// Size of a fingerprint in bytes.
///
/// At 3,200 bills per second a slot of 60 s has 192,000 ids. The probability that the fingerprint
/// of a new bill collides with one of them is 1 in 10^14, which is one wrongly dropped bill in a
/// thousand years.
pub const FINGERPRINT_BYTES: usize = size_of::<u64>();

/// Number of a time slot: the time since the Unix epoch divided by the length of a slot.
pub type Slot = u64;

/// Returns the key prefix of the index objects of a slot.
pub fn index_prefix(slot: Slot) -> String {
    format!("{INDEX_PREFIX}{slot:012}/")
}

/// Returns the key of the index object of a slot for the batch that starts at `first`.
pub fn object_key(slot: Slot, holder: &HolderId, first: Sequence) -> Arc<str> {
    format!("{}{holder}-{first:012}", index_prefix(slot)).into()
}

/// Returns the fingerprint of a request id.
pub fn fingerprint(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}

/// Hasher that returns a fingerprint unchanged, because it is a hash already.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
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

/// A set of fingerprints of request ids.
pub type Fingerprints = HashSet<u64, BuildHasherDefault<IdentityHasher>>;

/// Cache of the index objects. A slot that is present contains all fingerprints of the slot.
#[derive(Debug, Default)]
pub struct Cache {
    slots: BTreeMap<Slot, Fingerprints>,
}

impl Cache {
    /// Returns whether a slot is in the cache.
    pub fn has_slot(&self, slot: Slot) -> bool {
        self.slots.contains_key(&slot)
    }

    /// Returns whether a slot is in the cache and contains a fingerprint.
    pub fn contains(&self, slot: Slot, fingerprint: u64) -> bool {
        let fingerprints = self.slots.get(&slot);
        fingerprints.is_some_and(|fingerprints| fingerprints.contains(&fingerprint))
    }

    /// Adds or replaces a slot, given the contents of all its index objects.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the size of an object is not a multiple of [`FINGERPRINT_BYTES`].
    pub fn load(&mut self, slot: Slot, objects: &[Vec<u8>]) -> Result<(), Fault> {
        let mut fingerprints = Fingerprints::default();
        for object in objects {
            let (words, rest) = object.as_chunks::<FINGERPRINT_BYTES>();
            if !rest.is_empty() {
                let message = format!("an index object of slot {slot} is truncated");
                return Err(Fault::new(Kind::Internal, message));
            }
            fingerprints.extend(words.iter().map(|word| u64::from_be_bytes(*word)));
        }
        self.slots.insert(slot, fingerprints);
        Ok(())
    }

    /// Adds fingerprints to a slot if it is in the cache. Otherwise a later load of the slot
    /// includes them.
    pub fn extend(&mut self, slot: Slot, fingerprints: &[u64]) {
        if let Some(cached) = self.slots.get_mut(&slot) {
            cached.extend(fingerprints);
        }
    }

    /// Returns the number of fingerprints in the cache.
    pub fn len(&self) -> usize {
        self.slots.values().map(HashSet::len).sum()
    }

    /// Evicts the oldest slots until at most `limit` fingerprints or a single slot is left.
    pub fn evict(&mut self, limit: usize) {
        while self.len() > limit && self.slots.len() > 1 {
            self.slots.pop_first();
        }
    }
}

//! Hints about the prompt prefixes that upstreams have cached.

use {
    std::{mem::size_of, time::Duration},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Bytes of the prompt per block; the policy counts a block as 256 tokens by default.
const BLOCK_BYTES: usize = 1_024;
/// Maximum number of prefix hashes of a prompt.
const PREFIX_LIMIT: usize = 64;
/// Associativity of the table: hints per set.
const WAYS: usize = 4;
/// Multiplier of the hash function (2^64 / golden ratio).
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the hashes of a prompt's prefixes, one per complete block. Engines use the same hashes
/// in their cache events. Each hash covers all blocks up to its own, so that prompts with a common
/// prefix have the same first hashes.
///
/// `text` is the JSON text of the messages, or of the prompt when there are none.
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES).take(PREFIX_LIMIT);
    let chain = |hash: &mut u64, block: &[u8]| {
        *hash = xxh3_64_with_seed(block, *hash);
        Some(*hash)
    };
    blocks.scan(0, chain).collect()
}

/// A hint that an upstream stored a prefix.
#[derive(Clone, Copy, Debug, Default)]
struct Hint {
    /// Upper half of the mixed hash; 0 stands for an empty entry.
    tag: u32,
    /// Tenths of a second since the origin of the clock.
    stored_at: u32,
}

/// Validity of the hints of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Validity {
    /// Time at which the cache was cleared; earlier hints are ignored.
    pub cleared_at: Duration,
    /// Time at which events were lost; earlier hints are weighted with `gap_weight`.
    pub gap_at: Duration,
    /// From 0 to 1.
    pub gap_weight: f32,
}

/// Hints of all upstreams in a set-associative table of fixed size; a new hint replaces the oldest
/// one of its set.
#[derive(Debug)]
pub struct Hints {
    sets: Box<[[Hint; WAYS]]>,
    /// Age in seconds at which a hint has half of its weight.
    half_life: f32,
}

impl Hints {
    /// Creates a table for `size` hints, rounded up to a power of two of sets.
    pub fn new(size: usize, half_life: Duration) -> Self {
        let sets = size.div_ceil(WAYS).next_power_of_two();
        Self {
            sets: vec![[Hint::default(); WAYS]; sets].into(),
            half_life: half_life.as_secs_f32().max(0.1),
        }
    }

    /// Stores the hint that an upstream, given by the hash of its id, has cached prefixes.
    pub fn store(&mut self, now: Duration, upstream: u64, prefixes: &[u64]) {
        for prefix in prefixes {
            let (set, tag) = self.locate(upstream, *prefix);
            let hint = Hint {
                tag,
                stored_at: deciseconds(now),
            };
            let ways = &mut self.sets[set];
            let same = ways.iter().position(|way| way.tag == tag);
            let oldest = (0..WAYS).min_by_key(|way| ways[*way].stored_at);
            if let Some(way) = same.or(oldest) {
                ways[way] = hint;
            }
        }
    }

    /// Removes the hints that an upstream has cached prefixes.
    pub fn remove(&mut self, upstream: u64, prefixes: &[u64]) {
        for prefix in prefixes {
            let (set, tag) = self.locate(upstream, *prefix);
            for way in &mut self.sets[set] {
                if way.tag == tag {
                    *way = Hint::default();
                }
            }
        }
    }

    /// Returns how many leading blocks are expected in the upstream's cache, weighted by the age of
    /// the hint.
    ///
    /// A prefix hash covers all blocks up to its own, so the longest cached prefix is found by
    /// bisection.
    pub fn cached_blocks(
        &self,
        now: Duration,
        upstream: u64,
        prefixes: &[u64],
        validity: &Validity,
    ) -> f32 {
        let known = |prefix: &u64| self.find(upstream, *prefix, validity.cleared_at);
        let depth = prefixes.partition_point(|prefix| known(prefix).is_some());
        let Some(at) = depth.checked_sub(1).and_then(|last| known(&prefixes[last])) else {
            return 0.0;
        };
        let age = deciseconds(now).saturating_sub(at) as f32 / 10.0;
        let weight = if at < deciseconds(validity.gap_at) {
            validity.gap_weight
        } else {
            1.0
        };
        depth as f32 * weight * (-age / self.half_life).exp2()
    }

    /// Returns the size of the table in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.sets.len() * size_of::<[Hint; WAYS]>()
    }

    /// Returns when a hint was stored, in tenths of a second, unless that was before `valid_from`.
    fn find(&self, upstream: u64, prefix: u64, valid_from: Duration) -> Option<u32> {
        let (set, tag) = self.locate(upstream, prefix);
        let found = self.sets[set].iter().find(|way| way.tag == tag)?;
        (found.stored_at >= deciseconds(valid_from)).then_some(found.stored_at)
    }

    /// Returns the set and the tag of a hint.
    fn locate(&self, upstream: u64, prefix: u64) -> (usize, u32) {
        let mixed = (prefix ^ upstream).wrapping_mul(MIX_MULTIPLIER);
        let mixed = mixed ^ (mixed >> 32);
        let set = mixed as usize & (self.sets.len() - 1);
        (set, ((mixed >> 32) as u32).max(1))
    }
}

fn deciseconds(time: Duration) -> u32 {
    (time.as_millis() / 100) as u32
}

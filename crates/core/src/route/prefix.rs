//! Hints on which prompt prefixes an upstream has cached.

use {
    std::{mem::size_of, time::Duration},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Prompt bytes of one prefix hash; the policy counts 256 tokens for each.
const BLOCK_BYTES: usize = 1_024;
/// Most prefix hashes of a prompt.
const PREFIX_LIMIT: usize = 64;

/// Hints per set of the table.
const WAYS: usize = 4;
/// Multiplier that mixes a prefix hash with an upstream (2^64 / golden ratio).
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the hashes of a prompt's prefixes, which engines use in their cache events as well; each
/// covers all blocks before it, so that prompts which begin alike have the same first hashes.
///
/// The prompt is given by the JSON text of its messages, or of the prompt when there are none.
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES).take(PREFIX_LIMIT);
    let chain = |hash: &mut u64, block: &[u8]| {
        *hash = xxh3_64_with_seed(block, *hash);
        Some(*hash)
    };
    blocks.scan(0, chain).collect()
}

/// One hint: an upstream stored a prefix at a time.
#[derive(Clone, Copy, Debug, Default)]
struct Hint {
    /// Upper half of the mixed hash; 0 stands for an empty entry.
    tag: u32,
    /// Tenths of a second since the clock origin.
    at: u32,
}

/// How far the hints of an upstream can be trusted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trust {
    /// Hints from before this time do not count: the cache was cleared.
    pub cleared: Duration,
    /// Hints from before this time count for `after_gap`: events were lost.
    pub gap: Duration,
    pub after_gap: f32,
}

/// A set-associative table of fixed size; a new hint replaces the oldest of its set.
#[derive(Debug)]
pub struct Hints {
    sets: Box<[[Hint; WAYS]]>,
    half_life: f32,
}

impl Hints {
    pub fn new(size: usize, half_life: Duration) -> Self {
        let sets = size.div_ceil(WAYS).next_power_of_two();
        Self {
            sets: vec![[Hint::default(); WAYS]; sets].into(),
            half_life: half_life.as_secs_f32().max(0.1),
        }
    }

    pub fn store(&mut self, now: Duration, upstream: u64, prefixes: &[u64]) {
        for prefix in prefixes {
            let (set, tag) = self.place(upstream, *prefix);
            let hint = Hint {
                tag,
                at: tenths(now),
            };
            let ways = &mut self.sets[set];
            let same = ways.iter().position(|way| way.tag == tag);
            let oldest = (0..WAYS).min_by_key(|way| ways[*way].at);
            if let Some(way) = same.or(oldest) {
                ways[way] = hint;
            }
        }
    }

    pub fn remove(&mut self, upstream: u64, prefixes: &[u64]) {
        for prefix in prefixes {
            let (set, tag) = self.place(upstream, *prefix);
            for way in &mut self.sets[set] {
                if way.tag == tag {
                    *way = Hint::default();
                }
            }
        }
    }

    /// Returns how many leading blocks are expected in the upstream's cache, weighted by the age
    /// of the hint.
    ///
    /// A prefix hash covers all blocks before it, so the longest cached prefix is found by
    /// bisection.
    pub fn expect(&self, now: Duration, upstream: u64, prefixes: &[u64], trust: &Trust) -> f32 {
        let known = |prefix: &u64| self.at(upstream, *prefix, trust.cleared);
        let depth = prefixes.partition_point(|prefix| known(prefix).is_some());
        let Some(at) = depth.checked_sub(1).and_then(|last| known(&prefixes[last])) else {
            return 0.0;
        };
        let age = tenths(now).saturating_sub(at) as f32 / 10.0;
        let weight = if at < tenths(trust.gap) {
            trust.after_gap
        } else {
            1.0
        };
        depth as f32 * weight * (-age / self.half_life).exp2()
    }

    pub fn memory_bytes(&self) -> usize {
        self.sets.len() * size_of::<[Hint; WAYS]>()
    }

    fn at(&self, upstream: u64, prefix: u64, valid: Duration) -> Option<u32> {
        let (set, tag) = self.place(upstream, prefix);
        let found = self.sets[set].iter().find(|way| way.tag == tag)?;
        (found.at >= tenths(valid)).then_some(found.at)
    }

    fn place(&self, upstream: u64, prefix: u64) -> (usize, u32) {
        let mixed = (prefix ^ upstream).wrapping_mul(MIX);
        let mixed = mixed ^ (mixed >> 32);
        let set = mixed as usize & (self.sets.len() - 1);
        (set, ((mixed >> 32) as u32).max(1))
    }
}

fn tenths(time: Duration) -> u32 {
    (time.as_millis() / 100) as u32
}

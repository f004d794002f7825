//! What the routing policy needs to know of a request.

use {
    crate::protocol::{PromptPart, RequestHead},
    marigoldroute_core::route::Home,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// What the policy needs to know of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Profile {
    /// Prompt tokens; 0 for plain services.
    pub(crate) prompt: u32,
    /// Output token limit.
    pub(crate) output: u32,
    /// Hashes of the shared blocks, each covering all before it.
    pub(crate) prefixes: Vec<u64>,
    pub(crate) home: Option<Home>,
    pub(crate) priority: u8,
}

impl Profile {
    /// Describes a request; the last part of its prompt is its own, and the parts before it are
    /// shared with others.
    pub(crate) fn new(head: &RequestHead, priority: u8, block: u32) -> Self {
        let shared = head
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let prefixes = prefixes(shared, block);
        let home = prefixes.last().map(|key| Home {
            key: *key,
            blocks: prefixes.len() as u32,
        });
        let usage = head.usage;
        let narrow = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
        Self {
            prompt: usage.map_or(0, |usage| narrow(usage.prompt)),
            output: usage.map_or(1, |usage| narrow(usage.output)),
            prefixes,
            home,
            priority,
        }
    }
}

/// Returns a hash for each full block of the parts, each covering all before it.
fn prefixes(parts: &[PromptPart], block: u32) -> Vec<u64> {
    let mut hash = 0;
    let mut blocks = Vec::new();
    for part in parts {
        hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        let count = u64::from(part.tokens.div_ceil(block));
        blocks.extend((0..count).map(|index| xxh3_64_with_seed(&index.to_le_bytes(), hash)));
    }
    blocks
}

//! Properties of a request that the routing policy uses.

use {
    crate::protocol::{PromptPart, RequestHead},
    marigoldroute_core::{
        id::UpstreamId,
        route::{Request, SharedPrefix},
        wire::{Choose, Part},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Blocks of a shared prefix that are considered: the callers state its length, and larger prompts
/// than a million tokens fit no engine.
const PREFIX_LIMIT_BLOCKS: usize = 4_096;

/// Parts of a prompt that fit into a datagram with the rest of a question.
const WIRE_PARTS_LIMIT: usize = 32;

/// Properties of a request that the routing policy uses.
#[derive(Clone, Debug, Default)]
pub(crate) struct Profile {
    /// Prompt tokens; 0 for plain services.
    pub(crate) prompt: u32,
    /// Output token limit.
    pub(crate) output: u32,
    /// Hashes of the blocks of the shared prefix; each covers the blocks before it as well.
    pub(crate) prefixes: Vec<u64>,
    /// The whole shared prefix, which every host maps to the same upstream.
    pub(crate) shared_prefix: Option<SharedPrefix>,
    pub(crate) priority: u8,
    /// Parts of the prompt that other prompts may share.
    shared_parts: Vec<PromptPart>,
}

impl Profile {
    /// Returns the cost of the request in tokens; at least 1.
    pub(crate) fn tokens(&self) -> u64 {
        (u64::from(self.prompt) + u64::from(self.output)).max(1)
    }

    /// Derives the profile from the head of a request. The last part of the prompt belongs to the
    /// request alone; the parts before it are shared with others.
    pub(crate) fn new(head: &RequestHead, priority: u8, block_tokens: u32) -> Self {
        let shared = head
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let usage = head.usage;
        let clamp = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
        let profile = Self {
            prompt: usage.map_or(0, |usage| clamp(usage.prompt)),
            output: usage.map_or(1, |usage| clamp(usage.output)),
            priority,
            ..Self::default()
        };
        profile.with_shared(shared.to_vec(), block_tokens)
    }

    /// Restores the profile of another host's request.
    pub(crate) fn from_wire(choose: &Choose, block_tokens: u32) -> Self {
        let parts = choose.parts.iter().map(|part| PromptPart {
            id: part.id,
            tokens: part.tokens,
        });
        let profile = Self {
            prompt: choose.prompt,
            output: choose.output,
            priority: u8::try_from(choose.priority).unwrap_or(u8::MAX),
            ..Self::default()
        };
        profile.with_shared(parts.collect(), block_tokens)
    }

    fn with_shared(self, shared_parts: Vec<PromptPart>, block_tokens: u32) -> Self {
        let prefixes = prefix_hashes(&shared_parts, block_tokens);
        let shared_prefix = prefixes.last().map(|key| SharedPrefix {
            key: *key,
            blocks: prefixes.len() as u32,
        });
        Self {
            prefixes,
            shared_prefix,
            shared_parts,
            ..self
        }
    }

    /// Returns the first parts of the prompt that other prompts may share, for another host.
    pub(crate) fn wire_parts(&self) -> Vec<Part> {
        let parts = self.shared_parts.iter().take(WIRE_PARTS_LIMIT);
        let part = |part: &PromptPart| Part {
            id: part.id,
            tokens: part.tokens,
        };
        parts.map(part).collect()
    }

    /// Returns the request for the routing policy, at the upstreams that `allows` returns true for.
    pub(crate) fn request<'a>(
        &'a self,
        target: &'a str,
        allows: &'a dyn Fn(&UpstreamId) -> bool,
    ) -> Request<'a> {
        Request {
            target,
            prompt_tokens: self.prompt,
            output_limit: self.output,
            prefixes: &self.prefixes,
            shared_prefix: self.shared_prefix,
            priority: self.priority,
            zone: None,
            allows,
        }
    }
}

/// Returns a hash for each block of the parts; the last block of a part may be incomplete. Each
/// hash covers the blocks before it as well. There are at most [`PREFIX_LIMIT_BLOCKS`].
fn prefix_hashes(parts: &[PromptPart], block_tokens: u32) -> Vec<u64> {
    let mut hash = 0;
    let mut blocks = Vec::new();
    for part in parts {
        hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        let count = u64::from(part.tokens.div_ceil(block_tokens));
        let hashes = (0..count).map(|index| xxh3_64_with_seed(&index.to_le_bytes(), hash));
        blocks.extend(hashes.take(PREFIX_LIMIT_BLOCKS - blocks.len()));
    }
    blocks
}

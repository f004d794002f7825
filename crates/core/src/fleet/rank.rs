//! Rendezvous hashing.

use {crate::id::HostId, xxhash_rust::xxh3::xxh3_64_with_seed};

/// A host with its share of the keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Weighted {
    /// Host.
    pub host: HostId,
    /// Relative size; a host of weight 0 gets no keys.
    pub weight: u32,
}

/// Returns the hosts for a key, best first.
///
/// Each host is first for a share of the keys that is proportional to its weight. When a host
/// comes or goes, only the keys that it is first for move.
pub fn rank<'a>(key: &str, hosts: impl IntoIterator<Item = &'a Weighted>) -> Vec<&'a HostId> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let weighted = hosts.into_iter().filter(|host| host.weight > 0);
    let mut scored: Vec<_> = weighted
        .map(|host| (score(seed, host), &host.host))
        .collect();
    scored.sort_by(|(a, left), (b, right)| b.total_cmp(a).then_with(|| left.cmp(right)));
    scored.into_iter().map(|(_, host)| host).collect()
}

fn score(seed: u64, host: &Weighted) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let hash = xxh3_64_with_seed(host.host.as_bytes(), seed) >> (u64::BITS - MANTISSA_BITS);
    // Within (0, 1), so that the logarithm is finite and negative.
    let uniform = (hash as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -f64::from(host.weight) / uniform.ln()
}

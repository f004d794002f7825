//! Weighted rendezvous hashing of keys to hosts.

use {
    crate::id::{HostId, Zone},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// A host with its weight in the ranking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedHost {
    /// Host id, which is hashed with the key.
    pub host: HostId,
    /// Relative size; a host of weight 0 gets no keys.
    pub weight: u32,
}

/// A host with its weight in the ranking and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZonedHost {
    /// Host and weight.
    pub weighted: WeightedHost,
    /// Availability zone of the host.
    pub zone: Zone,
}

/// Ranks the hosts for a key, the one with the highest score first.
///
/// Each host is first for a share of the keys that is proportional to its weight. When a host joins
/// or leaves, the first host changes only for the keys for which that host is first.
pub fn rank<'a>(key: &str, hosts: impl IntoIterator<Item = &'a WeightedHost>) -> Vec<&'a HostId> {
    let weighted = hosts.into_iter().filter(|host| host.weight > 0);
    let seed = seed(key);
    let scored = weighted.map(|host| (score(seed, host), host));
    sorted(scored.collect())
        .into_iter()
        .map(|(_, host)| &host.host)
        .collect()
}

/// Ranks the hosts for a key so that the first ones are in different availability zones.
///
/// The highest ranked host of each zone comes first, then the second of each zone, and so on;
/// within such a round the order is that of [`rank`]. When a host joins or leaves, at most one
/// other host enters or leaves the first `n`, for every `n`.
pub fn rank_across_zones<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a ZonedHost>,
) -> Vec<&'a ZonedHost> {
    let weighted = hosts.into_iter().filter(|host| host.weighted.weight > 0);
    let seed = seed(key);
    let scored = weighted.map(|host| (score(seed, &host.weighted), host));
    let mut zone_counts: Vec<(&Zone, usize)> = Vec::new();
    let ranked = sorted(scored.collect()).into_iter().map(|(_, host)| host);
    let mut rounds: Vec<_> = ranked
        .map(|host| (next_in_zone(&mut zone_counts, &host.zone), host))
        .collect();
    // The sort is stable, so it keeps the ranking within a round.
    rounds.sort_by_key(|(round, _)| *round);
    rounds.into_iter().map(|(_, host)| host).collect()
}

/// Returns how many hosts of a zone were counted before, and counts one more. A region has few
/// zones, so a list is faster than a map.
fn next_in_zone<'a>(zone_counts: &mut Vec<(&'a Zone, usize)>, zone: &'a Zone) -> usize {
    if let Some((_, count)) = zone_counts.iter_mut().find(|(known, _)| *known == zone) {
        *count += 1;
        return *count;
    }
    zone_counts.push((zone, 0));
    0
}

fn sorted<T: Named>(mut scored: Vec<(f64, T)>) -> Vec<(f64, T)> {
    scored.sort_by(|(a, left), (b, right)| {
        b.total_cmp(a).then_with(|| left.name().cmp(right.name()))
    });
    scored
}

/// Access to the host id, which decides between equal scores.
trait Named {
    fn name(&self) -> &HostId;
}

impl Named for &WeightedHost {
    fn name(&self) -> &HostId {
        &self.host
    }
}

impl Named for &ZonedHost {
    fn name(&self) -> &HostId {
        &self.weighted.host
    }
}

fn seed(key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), 0)
}

fn score(seed: u64, host: &WeightedHost) -> f64 {
    let hash = xxh3_64_with_seed(host.host.as_bytes(), seed);
    weighted_score(hash, f64::from(host.weight))
}

/// Returns the score of a candidate from a uniform hash of it and the key. Of several candidates,
/// each has the highest score with a probability that is proportional to its weight.
pub fn weighted_score(hash: u64, weight: f64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mantissa = hash >> (u64::BITS - MANTISSA_BITS);
    // Strictly within (0, 1), so that the logarithm is finite and negative.
    let uniform = (mantissa as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -weight / uniform.ln()
}

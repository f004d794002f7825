//! Anti-entropy: digests of the known marks, by which hosts find and resend marks that were lost.

use {
    super::{
        mark::{Applied, Evidence, Fact, Gossip, Kind, Mark, Report},
        view::View,
    },
    prost::Message,
    rand::Rng,
    std::{
        hash::{Hash, Hasher},
        time::Duration,
    },
    xxhash_rust::xxh3::Xxh3Default,
};

/// Buckets of a digest. With 390 hosts, a bucket contains the marks of about six of them.
const BUCKET_COUNT: usize = 64;
/// Limit on the size of the marks that an answer to a digest contains for differing buckets.
const REPAIR_BYTES: usize = 4_000;

impl View {
    /// Returns the digest: the combined hash of the marks in each bucket.
    pub(super) fn buckets(&self, now: Duration) -> Vec<u64> {
        let mut buckets = vec![0; BUCKET_COUNT];
        self.for_each_mark(now, |bucket, hash, _| buckets[bucket] ^= hash);
        buckets
    }

    /// Returns the answer to an exchange. The answer to a digest also contains marks of the buckets
    /// that differ.
    pub(super) fn answer(
        &mut self,
        now: Duration,
        gossip: &Gossip,
        random: &mut impl Rng,
    ) -> Gossip {
        let mut marks = self.queue.take(self.settings.message_limit_bytes);
        if gossip.buckets.len() == BUCKET_COUNT {
            marks.extend(self.differing_marks(now, &gossip.buckets, random));
        }
        Gossip {
            version: self.me.applied,
            buckets: Vec::new(),
            marks,
            kind: Kind::Answer.into(),
        }
    }

    /// Returns the marks of the buckets that differ, up to the size limit.
    fn differing_marks(&self, now: Duration, remote: &[u64], random: &mut impl Rng) -> Vec<Mark> {
        let local = self.buckets(now);
        let mut marks: Vec<Vec<Mark>> = vec![Vec::new(); BUCKET_COUNT];
        self.for_each_mark(now, |bucket, _, fact| {
            if local[bucket] != remote[bucket] {
                marks[bucket].push(fact().into());
            }
        });
        // Starts at a random bucket, so that a full message does not always omit the same marks.
        marks.rotate_left(random.random_range(0..BUCKET_COUNT));
        let mut bytes = 0;
        let fitting = marks.into_iter().flatten().take_while(|mark| {
            bytes += mark.encoded_len() + 2;
            bytes <= REPAIR_BYTES
        });
        fitting.collect()
    }

    /// Calls `visit` with the bucket, the hash and the content of each mark that digests cover:
    /// those of live hosts with their configuration versions, of held models and of leaving
    /// upstreams.
    fn for_each_mark(&self, now: Duration, mut visit: impl FnMut(usize, u64, &dyn Fn() -> Fact)) {
        let me = (&self.me.host, self.me.revision, self.me.applied);
        let peers = self.peers.alive();
        let peers = peers.map(|peer| (&peer.host, peer.revision, peer.applied));
        for (host, revision, applied) in peers.chain([me]) {
            let bucket = bucket(&host.id);
            let state = (&*host.id, host.incarnation, revision);
            visit(bucket, hash(state), &|| {
                Fact::Host(self.host_mark(&host.id))
            });
            if applied > 0 {
                let mark = || {
                    Fact::Applied(Applied {
                        id: host.id.to_string(),
                        incarnation: host.incarnation,
                        version: applied,
                    })
                };
                visit(bucket, hash((&*host.id, applied)), &mark);
            }
        }
        for mark in self.held.values() {
            let state = (&mark.upstream, &mark.reporter, mark.sequence);
            let fact = || Fact::Held(mark.clone());
            visit(bucket(&mark.upstream), hash(state), &fact);
        }
        for (upstream, health) in &self.upstreams {
            for (reporter, (incarnation, sequence), evidence) in health.active_reports(now) {
                if evidence != Evidence::Leaving {
                    continue;
                }
                let state = (&**upstream, &**reporter, incarnation, sequence);
                let mark = || {
                    Fact::Report(Report {
                        upstream: upstream.to_string(),
                        reporter: reporter.to_string(),
                        incarnation,
                        sequence,
                        evidence: evidence.into(),
                    })
                };
                visit(bucket(upstream), hash(state), &mark);
            }
        }
    }
}

fn hash(state: impl Hash) -> u64 {
    let mut hasher = Xxh3Default::new();
    state.hash(&mut hasher);
    hasher.finish()
}

fn bucket(id: &str) -> usize {
    (hash(id) % BUCKET_COUNT as u64) as usize
}

//! Repair of marks that were lost.

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

/// Buckets of a digest; with 390 hosts a bucket that differs holds about six.
const BUCKETS: usize = 64;
/// Size of the marks in an answer to a digest.
const REPAIR_BYTES: usize = 4_000;

impl View {
    /// Returns the hash of each bucket of marks.
    pub(super) fn buckets(&self, now: Duration) -> Vec<u64> {
        let mut buckets = vec![0; BUCKETS];
        self.each(now, |bucket, hash, _| buckets[bucket] ^= hash);
        buckets
    }

    /// Answers an exchange. A digest is answered with marks of the buckets that differ.
    pub(super) fn answer(
        &mut self,
        now: Duration,
        gossip: &Gossip,
        random: &mut impl Rng,
    ) -> Gossip {
        let mut marks = self.queue.take(self.settings.message_bytes);
        if gossip.buckets.len() == BUCKETS {
            marks.extend(self.missing(now, &gossip.buckets, random));
        }
        Gossip {
            version: self.me.applied,
            buckets: Vec::new(),
            marks,
            kind: Kind::Answer.into(),
        }
    }

    fn missing(&self, now: Duration, theirs: &[u64], random: &mut impl Rng) -> Vec<Mark> {
        let mine = self.buckets(now);
        let mut marks: Vec<Vec<Mark>> = vec![Vec::new(); BUCKETS];
        self.each(now, |bucket, _, fact| {
            if mine[bucket] != theirs[bucket] {
                marks[bucket].push(fact().into());
            }
        });
        // Starting anywhere, so that a message that is full does not always lack the same marks.
        marks.rotate_left(random.random_range(0..BUCKETS));
        let mut bytes = 0;
        let fitting = marks.into_iter().flatten().take_while(|mark| {
            bytes += mark.encoded_len() + 2;
            bytes <= REPAIR_BYTES
        });
        fitting.collect()
    }

    /// Calls `visit` with the bucket, the hash and the content of each mark that counts.
    fn each(&self, now: Duration, mut visit: impl FnMut(usize, u64, &dyn Fn() -> Fact)) {
        let me = (&self.me.host, self.me.revision, self.me.applied);
        let peers = self.roster.alive();
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
            for (reporter, (incarnation, sequence), evidence) in health.active(now) {
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
    (hash(id) % BUCKETS as u64) as usize
}

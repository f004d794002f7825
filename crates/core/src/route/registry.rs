//! The known candidates and the subset of them that this host considers.

use {
    super::{Candidate, Origin},
    crate::id::{HostId, ModelId, UpstreamId},
    derive_more::{Display, Error},
    rand::{Rng, RngCore},
    std::{collections::HashMap, mem::size_of},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Error of adding a candidate when their maximum number is reached.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{capacity} candidates are known already")]
pub struct Full {
    capacity: usize,
}

/// Distance between a host and an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region, another availability zone.
    Region,
    /// Another region.
    Remote,
}

/// A known candidate with the state that the policy keeps for it.
#[derive(Debug)]
pub struct Slot<S> {
    pub candidate: Candidate,
    pub distance: Distance,
    /// Hash of the id, the same on every host.
    pub hash: u64,
    /// Distinguishes successive candidates in the same slot.
    pub generation: u32,
    pub state: S,
}

/// Candidates of one model or service, by ascending rank for this host.
#[derive(Debug, Default)]
pub struct List {
    /// Candidates of the own region.
    near: Vec<Entry>,
    /// Candidates of other regions.
    far: Vec<Entry>,
    /// Counter of the round-robin policy.
    pub next_turn: usize,
}

/// Rendezvous rank of this host for a candidate: the number of live hosts that rank before it, and
/// its hash to order equal ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    ahead: u32,
    hash: u64,
}

/// Rank of a candidate for this host, and its slot.
#[derive(Clone, Copy, Debug)]
struct Entry {
    rank: Rank,
    slot: u32,
}

impl List {
    /// Returns the number of candidates.
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Returns every slot, those of the own region first.
    pub fn all(&self) -> impl Iterator<Item = u32> + '_ {
        self.near.iter().chain(&self.far).map(|entry| entry.slot)
    }

    /// Returns the subset that this host considers: about `size` slots of its own region, and
    /// enough of other regions to reach `size`, but at least `spill` so that a region can overflow.
    ///
    /// A candidate is in the subsets of the hosts that rank first for it, so that every candidate
    /// is considered by the same number of hosts. A host considers at least half of `size`.
    pub fn subset(&self, size: usize, spill: usize, hosts: usize) -> Subset<'_> {
        let count = self.near.len();
        let near = if hosts > 1 && count > size {
            let share = (hosts * size).div_ceil(count) as u32;
            let preferred = self.near.partition_point(|entry| entry.rank.ahead < share);
            preferred.max(size.div_ceil(2)).min(count)
        } else {
            count.min(size)
        };
        let far = self.far.len().min(size.saturating_sub(near).max(spill));
        Subset {
            near: &self.near[..near],
            far: &self.far[..far],
        }
    }

    /// Returns a random slot of the own region outside the subset, so that load can move to
    /// candidates whose own hosts have little traffic.
    pub fn random_outside(&self, random: &mut dyn RngCore, subset: &Subset<'_>) -> Option<u32> {
        let rest = &self.near[subset.near.len()..];
        if rest.is_empty() {
            return None;
        }
        Some(rest[random.random_range(0..rest.len())].slot)
    }

    fn side(&mut self, distance: Distance) -> &mut Vec<Entry> {
        match distance {
            Distance::Remote => &mut self.far,
            Distance::Zone | Distance::Region => &mut self.near,
        }
    }
}

/// The part of a [`List`] that this host considers.
#[derive(Clone, Copy, Debug)]
pub struct Subset<'a> {
    near: &'a [Entry],
    far: &'a [Entry],
}

impl Subset<'_> {
    /// Returns the number of slots.
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Returns the slot at an index below [`Self::len`].
    pub fn slot(&self, index: usize) -> u32 {
        match index.checked_sub(self.near.len()) {
            None => self.near[index].slot,
            Some(rest) => self.far[rest].slot,
        }
    }
}

/// The known candidates and, by model or service, the lists of them.
#[derive(Debug)]
pub struct Registry<S> {
    origin: Origin,
    /// Hash seed of this host.
    seed: u64,
    /// Hash seeds of the other live hosts.
    others: Vec<u64>,
    /// Maximum number of candidates.
    capacity: usize,
    /// Generation of the last added candidate.
    generation: u32,
    slots: Vec<Option<Slot<S>>>,
    /// Indices of empty slots.
    free: Vec<u32>,
    ids: HashMap<UpstreamId, u32>,
    lists: HashMap<ModelId, List>,
}

impl<S: Default> Registry<S> {
    /// Creates an empty registry.
    pub fn new(origin: Origin, capacity: usize) -> Self {
        Self {
            seed: xxh3_64(origin.host.as_bytes()),
            others: Vec::new(),
            origin,
            capacity,
            generation: 0,
            slots: Vec::new(),
            free: Vec::new(),
            ids: HashMap::new(),
            lists: HashMap::new(),
        }
    }

    /// Adds a candidate with default state; a known and unchanged one keeps its state.
    pub fn join(&mut self, candidate: &Candidate) -> Result<(), Full> {
        if let Some(slot) = self.find(&candidate.id) {
            if self.slot(slot).is_some_and(|s| s.candidate == *candidate) {
                return Ok(());
            }
            self.withdraw(&candidate.id);
        }
        if self.ids.len() >= self.capacity {
            let capacity = self.capacity;
            return Err(Full { capacity });
        }
        let index = self.free.pop().unwrap_or(self.slots.len() as u32);
        if index as usize == self.slots.len() {
            self.slots.push(None);
        }
        self.insert(index, candidate);
        Ok(())
    }

    /// Removes a candidate from its slot and its lists.
    pub fn withdraw(&mut self, upstream: &str) {
        let Some(index) = self.ids.remove(upstream) else {
            return;
        };
        let Some(slot) = self.slots[index as usize].take() else {
            return;
        };
        for target in &slot.candidate.serves {
            let Some(list) = self.lists.get_mut(target) else {
                continue;
            };
            list.side(slot.distance).retain(|entry| entry.slot != index);
            if list.len() == 0 {
                self.lists.remove(target);
            }
        }
        self.free.push(index);
    }

    /// Sets the live hosts and recomputes all ranks, with one hash per host and candidate.
    pub fn set_hosts(&mut self, hosts: &[HostId]) {
        let others = hosts.iter().filter(|host| **host != self.origin.host);
        self.others = others.map(|host| xxh3_64(host.as_bytes())).collect();
        let ranks: Vec<Rank> = self
            .slots
            .iter()
            .map(|slot| match slot {
                Some(slot) => self.rank(&slot.candidate.id),
                None => Rank { ahead: 0, hash: 0 },
            })
            .collect();
        for list in self.lists.values_mut() {
            for side in [&mut list.near, &mut list.far] {
                for entry in side.iter_mut() {
                    entry.rank = ranks[entry.slot as usize];
                }
                side.sort_unstable_by_key(|entry| entry.rank);
            }
        }
    }

    /// Returns the number of live hosts; 1 when only this one is known.
    pub fn host_count(&self) -> usize {
        self.others.len() + 1
    }

    fn rank(&self, upstream: &str) -> Rank {
        let hash = xxh3_64_with_seed(upstream.as_bytes(), self.seed);
        let ranks_before = |seed: &&u64| xxh3_64_with_seed(upstream.as_bytes(), **seed) < hash;
        Rank {
            ahead: self.others.iter().filter(ranks_before).count() as u32,
            hash,
        }
    }

    /// Returns the slot index of a candidate.
    pub fn find(&self, upstream: &str) -> Option<u32> {
        self.ids.get(upstream).copied()
    }

    /// Returns the slot at an index unless it is empty.
    pub fn slot(&self, index: u32) -> Option<&Slot<S>> {
        self.slots.get(index as usize)?.as_ref()
    }

    /// Returns the slot if it still holds the candidate of that generation.
    pub fn current(&mut self, index: u32, generation: u32) -> Option<&mut Slot<S>> {
        let slot = self.slots.get_mut(index as usize)?.as_mut()?;
        (slot.generation == generation).then_some(slot)
    }

    /// Returns the slot index and the state of a candidate.
    pub fn state(&mut self, upstream: &str) -> Option<(u32, &mut S)> {
        let index = self.find(upstream)?;
        let slot = self.slots[index as usize].as_mut()?;
        Some((index, &mut slot.state))
    }

    /// Returns the candidates of a model or service.
    pub fn list(&self, target: &str) -> Option<&List> {
        self.lists.get(target)
    }

    /// Returns the candidates of a model or service for modification.
    pub fn list_mut(&mut self, target: &str) -> Option<&mut List> {
        self.lists.get_mut(target)
    }

    /// Returns the memory in bytes, without the text of the ids, which is shared with the caller.
    pub fn memory_bytes(&self) -> usize {
        let entries: usize = self.lists.values().map(List::len).sum();
        self.slots.capacity() * size_of::<Option<Slot<S>>>()
            + self.free.capacity() * size_of::<u32>()
            + self.others.capacity() * size_of::<u64>()
            + self.ids.capacity() * size_of::<(UpstreamId, u32)>()
            + self.lists.capacity() * size_of::<(ModelId, List)>()
            + entries * size_of::<Entry>()
    }

    fn insert(&mut self, index: u32, candidate: &Candidate) {
        self.generation += 1;
        let distance = if candidate.region != self.origin.region {
            Distance::Remote
        } else if candidate.zone != self.origin.zone {
            Distance::Region
        } else {
            Distance::Zone
        };
        let entry = Entry {
            rank: self.rank(&candidate.id),
            slot: index,
        };
        for target in &candidate.serves {
            let list = self.lists.entry(target.clone()).or_default();
            let side = list.side(distance);
            let at = side.partition_point(|other| other.rank < entry.rank);
            side.insert(at, entry);
        }
        self.ids.insert(candidate.id.clone(), index);
        self.slots[index as usize] = Some(Slot {
            candidate: candidate.clone(),
            distance,
            hash: xxh3_64(candidate.id.as_bytes()),
            generation: self.generation,
            state: S::default(),
        });
    }
}

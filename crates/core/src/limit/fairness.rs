//! Weighted fairness between workspaces by start-time fair queueing.

use {crate::id::WorkspaceId, std::collections::HashMap};

/// Virtual time per unit of cost at weight 1; preserves fractions of the cost at higher weights.
const COST_SCALE: u64 = 1 << 10;

/// State of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// Finish tag of the last entry, in virtual time.
    finish: u64,
    /// Number of waiting entries.
    waiting: u32,
}

/// Assigns each entry a start tag in virtual time; entries are served in ascending order of tags.
///
/// While two workspaces both have entries waiting, the costs served to each, divided by their
/// weights, differ by at most the largest cost over the weight of either, added up.
#[derive(Clone, Debug)]
pub struct Fairness {
    capacity: usize,
    /// Highest tag of a served entry.
    virtual_time: u64,
    /// Entries waiting in all workspaces.
    waiting: u32,
    flows: HashMap<WorkspaceId, Flow>,
}

impl Fairness {
    /// Creates the state for at most `capacity` workspaces; no more than `capacity` entries may
    /// wait at a time.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            virtual_time: 0,
            waiting: 0,
            flows: HashMap::new(),
        }
    }

    /// Adds an entry and returns its start tag; `weight` and `cost` must be above 0.
    pub fn tag(&mut self, workspace: &WorkspaceId, weight: u32, cost: u64) -> u64 {
        if self.flows.len() >= self.capacity && !self.flows.contains_key(workspace) {
            self.evict();
        }
        let start = self.start(workspace);
        let flow = self.flows.entry(workspace.clone()).or_default();
        let length = cost.saturating_mul(COST_SCALE) / u64::from(weight.max(1));
        flow.finish = start.saturating_add(length.max(1));
        flow.waiting += 1;
        self.waiting += 1;
        start
    }

    /// Returns the start tag that the next entry of a workspace would get.
    pub fn start(&self, workspace: &str) -> u64 {
        let finish = self.flows.get(workspace).map_or(0, |flow| flow.finish);
        finish.max(self.virtual_time)
    }

    /// Removes an entry that is served and advances the virtual time to its tag.
    pub fn serve(&mut self, workspace: &str, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
        self.remove(workspace);
    }

    /// Removes the newest entry of a workspace, which was dropped, and refunds its cost.
    pub fn refund(&mut self, workspace: &str, tag: u64) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.finish = tag;
        }
        self.remove(workspace);
    }

    /// Removes an entry without refunding its cost, because the tags of the workspace's later
    /// entries depend on it.
    pub fn remove(&mut self, workspace: &str) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        flow.waiting = flow.waiting.saturating_sub(1);
        self.waiting = self.waiting.saturating_sub(1);
        // When no entry waits, earlier use must not delay any workspace.
        if self.waiting == 0 {
            self.flows.clear();
        }
    }

    /// Removes the workspace with the lowest finish tag among those without waiting entries.
    fn evict(&mut self) {
        let idle = self.flows.iter().filter(|(_, flow)| flow.waiting == 0);
        let least = idle.min_by_key(|(_, flow)| flow.finish);
        if let Some(workspace) = least.map(|(workspace, _)| workspace.clone()) {
            self.flows.remove(&workspace);
        }
    }

    /// Returns the number of workspaces with state.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no workspace has state.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the number of waiting entries of a workspace.
    pub fn waiting(&self, workspace: &str) -> u32 {
        self.flows.get(workspace).map_or(0, |flow| flow.waiting)
    }
}

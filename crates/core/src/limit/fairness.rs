//! Weighted fairness between workspaces by start-time fair queueing.

use {crate::id::WorkspaceId, std::collections::HashMap};

/// Virtual time per unit of cost at weight 1; keeps fractions of the cost for larger weights.
const UNIT: u64 = 1 << 10;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Virtual time at which the workspace's last entry ends.
    finish: u64,
    waiting: u32,
}

/// Gives each entry of a workspace a tag in virtual time; entries are served by ascending tag.
///
/// While two workspaces both have entries waiting, the costs served to each, divided by their
/// weights, differ by at most the largest cost over the weight of either, added up.
#[derive(Clone, Debug)]
pub struct Fairness {
    capacity: usize,
    /// Tag of the entry served last.
    clock: u64,
    /// Entries waiting in all workspaces.
    waiting: u32,
    accounts: HashMap<WorkspaceId, Account>,
}

impl Fairness {
    /// Creates a clock that knows at most `capacity` workspaces; more than `capacity` entries must
    /// not wait at a time.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            waiting: 0,
            accounts: HashMap::new(),
        }
    }

    /// Returns the tag of a new entry with a cost above 0 and a weight above 0.
    pub fn tag(&mut self, workspace: &WorkspaceId, weight: u32, cost: u64) -> u64 {
        if self.accounts.len() >= self.capacity && !self.accounts.contains_key(workspace) {
            self.make_room();
        }
        let account = self.accounts.entry(workspace.clone()).or_default();
        let start = account.finish.max(self.clock);
        let length = cost.saturating_mul(UNIT) / u64::from(weight.max(1));
        account.finish = start.saturating_add(length.max(1));
        account.waiting += 1;
        self.waiting += 1;
        start
    }

    /// Notes that an entry is served.
    pub fn serve(&mut self, workspace: &str, tag: u64) {
        self.clock = self.clock.max(tag);
        self.forget(workspace);
    }

    /// Notes that the newest entry of a workspace is dropped: its cost is given back.
    pub fn undo(&mut self, workspace: &str, tag: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.finish = tag;
        }
        self.forget(workspace);
    }

    /// Notes that an entry is dropped; its cost stays counted, because the tags of the
    /// workspace's later entries follow from it.
    pub fn forget(&mut self, workspace: &str) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        account.waiting = account.waiting.saturating_sub(1);
        self.waiting = self.waiting.saturating_sub(1);
        // Nothing waits, so no workspace has to wait for another's earlier use.
        if self.waiting == 0 {
            self.accounts.clear();
        }
    }

    /// Forgets the workspace without waiting entries that has used the least.
    fn make_room(&mut self) {
        let idle = self
            .accounts
            .iter()
            .filter(|(_, account)| account.waiting == 0);
        let least = idle.min_by_key(|(_, account)| account.finish);
        if let Some(workspace) = least.map(|(workspace, _)| workspace.clone()) {
            self.accounts.remove(&workspace);
        }
    }

    /// Returns the number of known workspaces.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no workspace is known.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the waiting entries of a workspace.
    pub fn waiting(&self, workspace: &str) -> u32 {
        self.accounts
            .get(workspace)
            .map_or(0, |account| account.waiting)
    }
}

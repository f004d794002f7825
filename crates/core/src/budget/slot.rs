//! One budget at one holder.

use {
    super::{
        account::{Account, Want},
        grant::{Demand, Settings},
        journal::Share,
    },
    crate::id::{HolderId, Tokens},
    std::time::Duration,
};

/// What a holder knows of one budget.
#[derive(Debug, Default)]
pub struct Slot {
    /// As in the last durable journal row.
    pub durable: Share,
    /// Reservations stay below: the lower of the durable mark and the mark of a pending row,
    /// because the pending row may already have returned the tokens above its mark.
    pub ceiling: Tokens,
    /// Tokens billed, also by bills that no durable row holds; at most `ceiling`.
    pub spent: Tokens,
    /// Tokens of open reservations; `spent + reserved ≤ ceiling`.
    pub reserved: Tokens,
    /// Tokens that reservations lacked since the last flush.
    pub shortage: Tokens,
    /// Smoothed spend.
    pub demand: Demand,
    /// `spent` when `demand` was last updated.
    pub measured: Tokens,
    /// Tokens that the budget row had left when it was last read.
    pub rest: Tokens,
    /// When to read the budget row again.
    pub review_at: Duration,
    /// Until then the budget counts as exhausted.
    pub dry_until: Duration,
    /// Since when the holder lacks tokens that the budget row does not have.
    pub starving: Option<Duration>,
    /// When tokens were last asked for.
    pub used_at: Duration,
}

impl Slot {
    /// Returns the tokens that can be reserved now.
    pub fn free(&self) -> Tokens {
        self.ceiling.saturating_sub(self.used())
    }

    /// Returns the allocated tokens that are neither spent nor reserved.
    pub fn headroom(&self) -> Tokens {
        self.durable.allocated.saturating_sub(self.used())
    }

    /// Returns the spent and reserved tokens.
    pub fn used(&self) -> Tokens {
        self.spent + self.reserved
    }

    /// Returns the tokens that the budget row has to provide to cover the shortage.
    pub fn lack(&self) -> Tokens {
        let raisable = self.durable.allocated.saturating_sub(self.ceiling);
        self.shortage.saturating_sub(raisable)
    }

    /// Returns whether nothing would be lost by forgetting the slot.
    pub fn is_idle(&self, now: Duration, settings: &Settings) -> bool {
        let empty = self.durable.allocated == self.durable.spent && self.reserved == 0;
        empty && self.shortage == 0 && now > self.used_at + settings.review
    }

    /// Returns whether the budget row should be read before the next flush.
    pub fn is_wanting(&self, now: Duration, settings: &Settings) -> bool {
        if self.lack() > 0 {
            return true;
        }
        let headroom = self.headroom();
        let due = now >= self.review_at;
        if headroom > 0 && due {
            return true;
        }
        let target = settings.target(self.rest + headroom, &self.demand);
        self.rest > 0 && headroom < settings.low(target)
    }

    /// Returns whether the mark is low enough to justify a row of its own.
    pub fn is_mark_low(&self, settings: &Settings) -> bool {
        let lead = settings.lead(self.rest + self.headroom(), &self.demand);
        let low = settings.low(lead.min(self.headroom()));
        self.shortage > 0 && self.lack() < self.shortage || self.free() < low
    }

    /// Refills from the budget row or returns tokens to it, and returns the tokens allocated then.
    pub fn balance(
        &mut self,
        now: Duration,
        settings: &Settings,
        holder: &HolderId,
        account: &mut Account,
    ) -> Tokens {
        let headroom = self.headroom();
        let target = settings.target(account.rest() + headroom, &self.demand);
        let keep = self.keep(now, settings, holder, account, target);
        let mut allocated = self.durable.allocated;
        if self.lack() > 0 && account.rest() >= self.lack() {
            let amount = target.saturating_sub(headroom).max(self.lack());
            allocated += account.grant(amount);
            account.wanted = None;
            self.starving = None;
        } else if let Some(keep) = keep
            && keep < headroom
        {
            let returned = headroom - keep;
            if account.restore(returned).is_some() {
                allocated -= returned;
            }
        } else if self.lack() > 0 {
            let tokens = self.lack();
            let holder = holder.clone();
            account.wanted.get_or_insert(Want { holder, tokens });
        } else if keep.is_none() && headroom < settings.low(target) {
            allocated += account.grant(target - headroom);
        }
        self.rest = account.rest();
        self.review_at = now + settings.next_review(self.rest, &self.demand);
        allocated
    }

    /// Notes that a shortage remains after the flush.
    pub fn starve(&mut self, now: Duration, settings: &Settings) {
        let since = *self.starving.get_or_insert(now);
        if now.saturating_sub(since) >= settings.patience {
            self.dry_until = now + settings.dry_pause;
        }
    }

    /// Returns the mark of the next row.
    pub fn raise(&self, settings: &Settings, allocated: Tokens) -> Tokens {
        let headroom = allocated.saturating_sub(self.used());
        let lead = settings.lead(self.rest + headroom, &self.demand);
        let wish = (self.used() + lead).max(self.ceiling + self.shortage);
        wish.max(self.durable.mark).min(allocated)
    }

    /// Returns how many unreserved tokens to keep when others need them more, or when they exceed
    /// what this holder needs.
    fn keep(
        &self,
        now: Duration,
        settings: &Settings,
        holder: &HolderId,
        account: &Account,
        target: Tokens,
    ) -> Option<Tokens> {
        if account.cut > 0 {
            return Some(0);
        }
        if account.wanted.as_ref().is_some_and(|w| w.holder != *holder) {
            let least = settings.least(&self.demand);
            return Some(if self.shortage > 0 { 0 } else { least });
        }
        if self.shortage > 0 {
            return None;
        }
        if now > self.used_at + settings.horizon {
            return Some(0);
        }
        // Below twice the target a return is not worth two writes of the budget row.
        let surplus = self.headroom().saturating_sub(target);
        (surplus > target && surplus >= settings.smallest).then_some(target)
    }
}

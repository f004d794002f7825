//! One budget at one holder.

use {
    super::{
        account::{Account, Shortfall},
        bound::{self, Meter},
        grant::{Demand, Settings},
        journal::Share,
    },
    crate::id::{HolderId, RequestId, Tokens},
    std::{collections::BTreeMap, time::Duration},
};

/// A holder returns tokens above this multiple of its target.
const SURPLUS: Tokens = 4;

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
    /// Most tokens that a reservation lacked since the last flush.
    pub shortage: Tokens,
    /// Fewest tokens that a reservation lacked since the last flush; 0 when none lacked any.
    pub least_shortage: Tokens,
    /// Tokens that all reservations since the last flush lacked; repeated ones count again.
    pub missed: Tokens,
    /// Tokens that a request which does with `least_shortage` would take, if there are as many.
    pub partial: Tokens,
    /// Smoothed reservations.
    pub demand: Demand,
    /// Tokens reserved so far, without those of requests that did not run.
    pub taken: Tokens,
    /// `taken` when `demand` was last updated.
    pub measured: Tokens,
    /// Tokens that the budget row had left when it was last read.
    pub unallocated: Tokens,
    /// When to read the budget row again.
    pub review_at: Duration,
    /// Until then the budget counts as exhausted for reservations that lack `dry_from` tokens.
    pub dry_until: Duration,
    /// Fewest tokens that the budget could not provide.
    pub dry_from: Tokens,
    /// Until then a headroom below the low-water level does not cause a read, because the last
    /// read found nothing.
    pub low_until: Duration,
    /// Since when the holder lacks tokens that the budget row does not have.
    pub starving: Option<Duration>,
    /// Counts reservations against the bound of the durable row.
    pub meter: Option<Meter>,
    /// The same for the pending row, which may take effect at any time.
    pub next_meter: Option<Meter>,
    /// Requests that wait for a row, with their tokens. Only used with bounds; who waits ends that
    /// with a reservation or [`super::Holder::cancel_wait`].
    pub waiting: BTreeMap<RequestId, Tokens>,
    /// When tokens were last asked for.
    pub used_at: Duration,
}

impl Slot {
    /// Returns the tokens that can be reserved now.
    pub fn free(&self) -> Tokens {
        self.ceiling.saturating_sub(self.used())
    }

    /// Returns the tokens that the bounds of the rows allow to reserve now.
    pub fn within_bound(&self, now: Duration) -> Tokens {
        let meters = self.meter.iter().chain(&self.next_meter);
        let free = meters.map(|meter| meter.free(now)).min();
        free.unwrap_or(Tokens::MAX)
    }

    /// Returns how long to wait until the bounds of the rows allow to reserve `tokens`, or `None`
    /// when the mark does not cover them.
    pub fn wait_time(&self, now: Duration, tokens: Tokens) -> Option<Duration> {
        if tokens > self.free() {
            return None;
        }
        let mut meters = self.meter.iter().chain(&self.next_meter);
        meters.try_fold(Duration::ZERO, |longest, meter| {
            Some(longest.max(meter.wait_time(now, tokens)?))
        })
    }

    /// Reserves tokens that are free.
    pub fn reserve(&mut self, tokens: Tokens) {
        self.reserved += tokens;
        self.taken += tokens;
        let meters = self.meter.iter_mut().chain(&mut self.next_meter);
        meters.for_each(|meter| meter.take(tokens));
    }

    /// Returns the tokens of the waiting requests that a row with this mark admits.
    pub fn admitted(&self, mark: Tokens) -> Tokens {
        let room = mark.saturating_sub(self.used());
        let waiting = self.waiting.values();
        waiting.fold(0, |sum, tokens| match sum + tokens <= room {
            true => sum + tokens,
            false => sum,
        })
    }

    /// Returns the tokens of the largest waiting request.
    pub fn most_waiting(&self) -> Tokens {
        self.waiting.values().copied().max().unwrap_or(0)
    }

    /// Returns whether the bound of the durable row allows reservations without a new row.
    pub fn has_lead(&self) -> bool {
        self.meter.as_ref().is_some_and(Meter::has_lead)
    }

    /// Returns whether a new row should renew the bound.
    pub fn is_bound_old(&self, now: Duration, settings: &bound::Settings) -> bool {
        let is_old = |meter: &Meter| meter.age(now) >= settings.renewal_age || meter.is_low();
        self.free() > 0 && self.meter.as_ref().is_some_and(is_old)
    }

    /// Returns the allocated tokens that are neither spent nor reserved.
    pub fn headroom(&self) -> Tokens {
        self.durable.allocated.saturating_sub(self.used())
    }

    /// Returns the spent and reserved tokens.
    pub fn used(&self) -> Tokens {
        self.spent + self.reserved
    }

    /// Notes that a reservation lacks tokens.
    pub fn miss(&mut self, tokens: Tokens) {
        let least = if self.least_shortage > 0 {
            self.least_shortage
        } else {
            tokens
        };
        self.least_shortage = least.min(tokens);
        self.shortage = self.shortage.max(tokens);
        self.missed = self.missed.saturating_add(tokens);
    }

    /// Returns the tokens that the budget row has to provide to cover the largest shortage.
    pub fn lack(&self) -> Tokens {
        self.shortage.saturating_sub(self.raisable())
    }

    fn least_lack(&self) -> Tokens {
        self.least_shortage.saturating_sub(self.raisable())
    }

    /// Returns the allocated tokens above the ceiling.
    fn raisable(&self) -> Tokens {
        self.durable.allocated.saturating_sub(self.ceiling)
    }

    /// Returns whether nothing would be lost by forgetting the slot.
    pub fn is_idle(&self, now: Duration, settings: &Settings) -> bool {
        let empty = self.durable.allocated == self.durable.spent && self.reserved == 0;
        empty && self.shortage == 0 && now > self.used_at + settings.review_interval
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
        let target = settings.target(self.unallocated + headroom, &self.demand);
        self.unallocated > 0 && now >= self.low_until && headroom < settings.low(target)
    }

    /// Returns whether the mark is low enough to justify a row of its own.
    pub fn is_mark_low(&self, settings: &Settings) -> bool {
        let lead = settings.lead(self.unallocated + self.headroom(), &self.demand);
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
        let target = settings.target(account.unallocated() + headroom, &self.demand);
        let keep = self.keep(now, settings, holder, account, target);
        let partial = self.partial.saturating_sub(self.raisable());
        let mut allocated = self.durable.allocated;
        if self.lack() > 0 && account.unallocated() >= self.lack() {
            let amount = target.saturating_sub(headroom).max(self.lack());
            allocated += account.grant(amount.max(partial));
            account.clear_shortfall(holder);
            self.starving = None;
        } else if self.least_lack() > 0 && account.unallocated() >= self.least_lack() {
            allocated += account.grant(self.least_lack().max(partial));
        } else if let Some(keep) = keep
            && keep < headroom
        {
            let returned = headroom - keep;
            if account.deallocate(returned).is_some() {
                allocated -= returned;
            }
        } else if self.lack() > 0 {
            let tokens = self.lack();
            let holder = holder.clone();
            account.wanted.get_or_insert(Shortfall { holder, tokens });
        } else if keep.is_none() && headroom < settings.low(target) {
            allocated += account.grant(target - headroom);
        }
        if allocated <= self.durable.allocated {
            self.low_until = now + settings.short_review_interval;
        }
        self.unallocated = account.unallocated();
        self.review_at = now + settings.next_review(self.unallocated, headroom, &self.demand);
        allocated
    }

    /// Ends the shortage at a flush that raises the mark to `mark`, and returns what it covers.
    pub fn take_shortage(
        &mut self,
        now: Duration,
        settings: &Settings,
        mark: Tokens,
    ) -> Option<Tokens> {
        let most = std::mem::take(&mut self.shortage);
        let least = std::mem::take(&mut self.least_shortage);
        self.partial = 0;
        self.missed = 0;
        if mark >= self.ceiling + most {
            return (most > 0).then_some(most);
        }
        let since = *self.starving.get_or_insert(now);
        if now.saturating_sub(since) >= settings.exhaustion_delay {
            self.dry_until = now + settings.exhausted_ttl;
            let covered = mark >= self.ceiling + least;
            self.dry_from = if covered { most } else { least };
        }
        None
    }

    /// Returns the mark of the next row.
    pub fn raise(&self, settings: &Settings, allocated: Tokens) -> Tokens {
        let headroom = allocated.saturating_sub(self.used());
        let lead = settings.lead(self.unallocated + headroom, &self.demand);
        let wish = (self.used() + lead).max(self.ceiling + self.shortage.max(self.partial));
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
        // Hysteresis saves writes of the budget row when demand, and with it the target, varies.
        let surplus = self.headroom() > target.saturating_mul(SURPLUS);
        (surplus && self.headroom() >= settings.min_grant).then_some(target)
    }
}

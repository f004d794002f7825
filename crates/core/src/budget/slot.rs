//! The state that a holder keeps for one budget.

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

/// A holder returns the excess when its unreserved tokens exceed this multiple of its target.
const SURPLUS_FACTOR: Tokens = 4;

/// Tokens, demand and shortages of one budget at one holder.
#[derive(Debug, Default)]
pub struct Slot {
    /// Share in the last durable journal row.
    pub durable: Share,
    /// Limit of spent and reserved tokens: the lower of the marks of the durable and the pending
    /// row, because the pending row may already have returned the tokens above its mark.
    pub ceiling: Tokens,
    /// Tokens billed, including bills that are in no durable row yet; at most `ceiling`.
    pub spent: Tokens,
    /// Tokens of open reservations; `spent + reserved ≤ ceiling`.
    pub reserved: Tokens,
    /// Largest number of tokens that a single reservation lacked since the last flush that covered
    /// it or read the budget row.
    pub shortage: Tokens,
    /// Smallest number of tokens that a single reservation lacked since then; 0 when none lacked
    /// any.
    pub min_shortage: Tokens,
    /// Sum of the tokens that reservations lacked since then; a repeated call of the same
    /// request counts again.
    pub total_shortage: Tokens,
    /// Largest number of tokens that a reservation lacked to get all it asked for, although it
    /// accepts fewer; a refill takes them if the budget has them.
    pub desired_shortage: Tokens,
    /// Smoothed rate of reservations.
    pub demand: Demand,
    /// Tokens reserved so far, without those of requests that did not run.
    pub total_reserved: Tokens,
    /// Value of `total_reserved` when `demand` was last updated.
    pub sampled_reserved: Tokens,
    /// Tokens of the budget that no holder had when its row was last read.
    pub unallocated: Tokens,
    /// Tokens that the budget row withheld when it was last read.
    pub withheld: Tokens,
    /// When to read the budget row again.
    pub review_at: Duration,
    /// Until this time, reservations that lack `exhausted_amount` tokens or more are refused
    /// because the budget is exhausted.
    pub exhausted_until: Duration,
    /// Smallest number of tokens that the budget could not provide.
    pub exhausted_amount: Tokens,
    /// Until this time, a headroom below the low-water level does not cause a read of the budget
    /// row, because the last read brought no tokens.
    pub low_water_paused_until: Duration,
    /// When the holder first lacked tokens that the budget row could not provide; `None` when a
    /// refill has covered the shortage since.
    pub starved_since: Option<Duration>,
    /// Counts reservations against the bound of the durable row.
    pub meter: Option<Meter>,
    /// Counts reservations against the bound of the pending row, which may take effect at any time.
    pub pending_meter: Option<Meter>,
    /// Requests that wait for a journal row, with their tokens. Only used with bounds. An entry is
    /// removed by a reservation or by [`super::Holder::cancel_wait`].
    pub waiting: BTreeMap<RequestId, Tokens>,
    /// When a reservation was last requested or tokens were prefetched.
    pub last_used: Duration,
}

impl Slot {
    /// Returns the unreserved tokens below the ceiling.
    pub fn free(&self) -> Tokens {
        self.ceiling.saturating_sub(self.used())
    }

    /// Returns the tokens that the bounds of the durable and the pending row allow to reserve now;
    /// `None` when neither has a bound.
    pub fn within_bound(&self, now: Duration) -> Option<Tokens> {
        let meters = self.meter.iter().chain(&self.pending_meter);
        meters.map(|meter| meter.free(now)).min()
    }

    /// Returns whether the bounds allow a reservation of `tokens` now.
    pub fn is_within_bound(&self, now: Duration, tokens: Tokens) -> bool {
        self.within_bound(now).is_none_or(|free| tokens <= free)
    }

    /// Returns the time until the bounds of the rows allow a reservation of `tokens`, or `None`
    /// when the mark does not cover it or a bound never allows it.
    pub fn wait_time(&self, now: Duration, tokens: Tokens) -> Option<Duration> {
        if tokens > self.free() {
            return None;
        }
        let mut meters = self.meter.iter().chain(&self.pending_meter);
        meters.try_fold(Duration::ZERO, |longest, meter| {
            Some(longest.max(meter.wait_time(now, tokens)?))
        })
    }

    /// Adds a reservation of tokens that are free and within the bounds.
    pub fn reserve(&mut self, tokens: Tokens) {
        self.reserved += tokens;
        self.total_reserved += tokens;
        let meters = self.meter.iter_mut().chain(&mut self.pending_meter);
        meters.for_each(|meter| meter.record(tokens));
    }

    /// Returns the total tokens of the waiting requests that fit below `mark`.
    pub fn admissible(&self, mark: Tokens) -> Tokens {
        let available = mark.saturating_sub(self.used());
        let waiting = self.waiting.values();
        waiting.fold(0, |sum, tokens| {
            let with = sum.saturating_add(*tokens);
            if with <= available { with } else { sum }
        })
    }

    /// Returns the tokens of the largest waiting request.
    pub fn max_waiting(&self) -> Tokens {
        self.waiting.values().copied().max().unwrap_or(0)
    }

    /// Returns whether the bound of the durable row ever allows reservations without a new row.
    pub fn can_reserve_ahead(&self) -> bool {
        self.meter.as_ref().is_some_and(Meter::can_reserve_ahead)
    }

    /// Returns whether a new row should renew the bound: there are free tokens, and the bound is
    /// old or more than half of its spare burst is used.
    pub fn is_bound_stale(&self, now: Duration, settings: &bound::Settings) -> bool {
        let is_stale = |meter: &Meter| meter.age(now) >= settings.renewal_age || meter.is_low();
        self.free() > 0 && self.meter.as_ref().is_some_and(is_stale)
    }

    /// Returns the allocated tokens that are neither spent nor reserved.
    pub fn headroom(&self) -> Tokens {
        self.durable.allocated.saturating_sub(self.used())
    }

    /// Returns the sum of the spent and the reserved tokens.
    pub fn used(&self) -> Tokens {
        self.spent + self.reserved
    }

    /// Records that a reservation lacks `tokens`.
    pub fn record_shortage(&mut self, tokens: Tokens) {
        let known = if self.min_shortage > 0 {
            self.min_shortage
        } else {
            tokens
        };
        self.min_shortage = known.min(tokens);
        self.shortage = self.shortage.max(tokens);
        self.total_shortage = self.total_shortage.saturating_add(tokens);
    }

    /// Returns the tokens that the budget row has to provide to cover the largest shortage.
    pub fn refill_needed(&self) -> Tokens {
        self.shortage.saturating_sub(self.above_ceiling())
    }

    /// Returns the tokens that the budget row has to provide to cover the smallest shortage.
    fn min_refill_needed(&self) -> Tokens {
        self.min_shortage.saturating_sub(self.above_ceiling())
    }

    /// Returns the allocated tokens above the ceiling, which a row can provide by a higher mark.
    fn above_ceiling(&self) -> Tokens {
        self.durable.allocated.saturating_sub(self.ceiling)
    }

    /// Returns whether the slot can be removed: it has no tokens and has not been used for a review
    /// interval.
    pub fn is_idle(&self, now: Duration, settings: &Settings) -> bool {
        let is_empty = self.durable.allocated == self.durable.spent && self.reserved == 0;
        is_empty && now > self.last_used + settings.review_interval
    }

    /// Returns whether the next flush needs the budget row: to refill, or to return tokens.
    pub fn is_read_due(&self, now: Duration, settings: &Settings) -> bool {
        if self.refill_needed() > 0 {
            return true;
        }
        let headroom = self.headroom();
        let is_review_due = now >= self.review_at;
        if headroom > 0 && is_review_due {
            return true;
        }
        let target = settings.target(self.unallocated + headroom, &self.demand);
        self.unallocated > 0
            && now >= self.low_water_paused_until
            && headroom < settings.low_water_level(target)
    }

    /// Returns whether a row is due to raise the mark, although there may be nothing else to state.
    pub fn is_mark_low(&self, settings: &Settings) -> bool {
        let lead = settings.lead(self.unallocated + self.headroom(), &self.demand);
        let low = settings.low_water_level(lead.min(self.headroom()));
        self.shortage > 0 && self.refill_needed() < self.shortage || self.free() < low
    }

    /// Refills from the budget row or returns tokens to it; returns the tokens that are allocated
    /// to the holder afterwards.
    pub fn balance(
        &mut self,
        now: Duration,
        settings: &Settings,
        holder: &HolderId,
        account: &mut Account,
    ) -> Tokens {
        let headroom = self.headroom();
        let target = settings.target(account.unallocated() + headroom, &self.demand);
        let keep = self.tokens_to_keep(now, settings, holder, account, target);
        let desired = self.desired_shortage.saturating_sub(self.above_ceiling());
        let mut allocated = self.durable.allocated;
        if self.refill_needed() > 0 && account.unallocated() >= self.refill_needed() {
            let amount = target.saturating_sub(headroom).max(self.refill_needed());
            allocated += account.grant(amount.max(desired));
            account.clear_shortfall(holder);
            self.starved_since = None;
        } else if self.min_refill_needed() > 0 && account.unallocated() >= self.min_refill_needed()
        {
            allocated += account.grant(self.min_refill_needed().max(desired));
        } else if let Some(keep) = keep
            && keep < headroom
        {
            let returned = headroom - keep;
            if account.deallocate(returned).is_some() {
                allocated -= returned;
            }
        } else if self.refill_needed() > 0 {
            let tokens = self.refill_needed();
            let holder = holder.clone();
            account.wanted.get_or_insert(Shortfall { holder, tokens });
        } else if keep.is_none() && headroom < settings.low_water_level(target) {
            allocated += account.grant(target - headroom);
        }
        if allocated <= self.durable.allocated {
            self.low_water_paused_until = now + settings.short_review_interval;
        }
        self.unallocated = account.unallocated();
        self.withheld = account.withheld;
        self.review_at = now + settings.review_delay(self.unallocated, headroom, &self.demand);
        allocated
    }

    /// Resets the recorded shortages at a flush with the given mark that has read the budget row,
    /// or whose mark covers the largest one. Returns the largest shortage if the mark covers it;
    /// otherwise, after [`Settings::exhaustion_delay`], reports the budget as exhausted.
    ///
    /// Without the budget row, it is not known what the budget can provide: what the mark does not
    /// cover is left to the next flush, as long as requests ask for it.
    pub fn clear_shortage(
        &mut self,
        now: Duration,
        settings: &Settings,
        mark: Tokens,
        is_read: bool,
    ) -> Option<Tokens> {
        if self.shortage == 0 {
            self.desired_shortage = 0;
            return None;
        }
        let is_covered = mark >= self.ceiling.saturating_add(self.shortage);
        // Requests that wait ask again after each flush.
        let is_waited_for = now <= self.last_used + settings.exhaustion_delay;
        if !is_read && !is_covered && is_waited_for {
            let raised = mark.saturating_sub(self.ceiling);
            self.shortage -= raised;
            self.min_shortage = self.min_shortage.saturating_sub(raised).max(1);
            return None;
        }
        let max = std::mem::take(&mut self.shortage);
        let min = std::mem::take(&mut self.min_shortage);
        self.desired_shortage = 0;
        self.total_shortage = 0;
        if is_covered {
            return Some(max);
        }
        if !is_read {
            return None;
        }
        let since = *self.starved_since.get_or_insert(now);
        if now.saturating_sub(since) >= settings.exhaustion_delay {
            self.exhausted_until = now + settings.exhausted_ttl;
            let is_min_covered = mark >= self.ceiling.saturating_add(min);
            self.exhausted_amount = if is_min_covered { max } else { min };
        }
        None
    }

    /// Returns the mark of the next row, at most `allocated`.
    pub fn next_mark(&self, settings: &Settings, allocated: Tokens) -> Tokens {
        let headroom = allocated.saturating_sub(self.used());
        let lead = settings.lead(self.unallocated + headroom, &self.demand);
        let shortage = self.shortage.max(self.desired_shortage);
        let desired = (self.used() + lead).max(self.ceiling.saturating_add(shortage));
        desired.max(self.durable.mark).min(allocated)
    }

    /// Returns how many unreserved tokens to keep when the rest should return to the budget: for a
    /// cut, for another holder that lacks tokens, or because they exceed this holder's need.
    /// Returns `None` when nothing should be returned.
    fn tokens_to_keep(
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
            let min = settings.min_headroom(&self.demand);
            return Some(if self.shortage > 0 { 0 } else { min });
        }
        if self.shortage > 0 {
            return None;
        }
        if now > self.last_used + settings.horizon {
            return Some(0);
        }
        // The hysteresis saves writes of the budget row when the demand and its target fluctuate.
        let is_surplus = self.headroom() > target.saturating_mul(SURPLUS_FACTOR);
        (is_surplus && self.headroom() >= settings.min_grant).then_some(target)
    }
}

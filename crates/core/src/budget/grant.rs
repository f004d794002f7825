//! Sizes of grants and marks.

use {crate::id::Tokens, std::time::Duration};

/// Settings of a [`super::Holder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// For how long a holder should be able to serve its demand without the store.
    pub endurance: Duration,
    /// Smallest grant in tokens, so that the first request of a budget does not need several.
    pub smallest: Tokens,
    /// A grant is at most the rest of the budget divided by this number, so that the last tokens
    /// are neither spread over all holders nor held by one.
    pub divisor: Tokens,
    /// How long a refill that found nothing keeps the holder from asking again.
    pub dry_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            endurance: Duration::from_secs(3_600),
            smallest: 4_096,
            divisor: 4,
            dry_pause: Duration::from_secs(1),
        }
    }
}

/// Returns how many tokens to move from a budget with `rest` tokens left to a holder that lacks
/// `shortage` tokens now and spends `rate` tokens a second.
pub fn size(settings: &Settings, rest: Tokens, shortage: Tokens, rate: f64) -> Tokens {
    let demand = (rate * settings.endurance.as_secs_f64()) as Tokens;
    let wanted = demand.max(settings.smallest);
    let fair = rest / settings.divisor.max(1);
    wanted.min(fair).max(shortage).min(rest)
}

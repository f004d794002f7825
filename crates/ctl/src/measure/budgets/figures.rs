//! Counters of a run, and the figures computed from them.

use {
    super::{demand::Job, node::Node},
    derive_more::Display,
    marigoldroute_core::id::Tokens,
};

/// The last part of a budget, as a fraction of what was bought.
const LAST: Tokens = 20;
/// Seconds over which the peak of writes is averaged.
const WINDOW: usize = 10;
/// Seconds after the start of the whole fleet that are counted apart.
const START: u64 = 30;

/// Counters of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub overspent: Tokens,
    pub reads: u64,
    pub writes: u64,
    requests: u64,
    refused: u64,
    /// Refused although the unspent tokens of the budget would have covered the request.
    false_refusals: u64,
    /// The same for other reasons, while no region is cut off, and requests of that time.
    false_calm: u64,
    calm: u64,
    /// The same, because a dead holder has the tokens.
    false_stranded: u64,
    /// Requests to budgets in their last part that the unspent tokens cover, while no region is
    /// cut off.
    last: u64,
    false_last: u64,
    waited: u64,
    /// Requests of the start, and those falsely refused.
    early: u64,
    false_early: u64,
    /// Served with a smaller answer limit.
    shortened: u64,
    stranded: Vec<Tokens>,
    per_second: Vec<u64>,
}

impl Tally {
    pub fn arrive(&mut self, second: u64, left: Tokens, bought: Tokens, job: &Job, calm: bool) {
        self.requests += 1;
        self.early += u64::from(second < START);
        self.calm += u64::from(calm);
        self.last += u64::from(calm && left >= job.amount && left * LAST <= bought);
    }

    pub fn shorten(&mut self) {
        self.shortened += 1;
    }

    pub fn start(&mut self, waited: u64) {
        self.waited += u64::from(waited > 0);
    }

    pub fn refuse(
        &mut self,
        since: u64,
        left: Tokens,
        stranded: Tokens,
        bought: Tokens,
        job: &Job,
        calm: bool,
    ) {
        self.refused += 1;
        if left < job.amount {
            return;
        }
        self.false_refusals += 1;
        if left < job.amount + stranded {
            self.false_stranded += 1;
            return;
        }
        self.false_early += u64::from(since < START);
        self.false_calm += u64::from(calm);
        self.false_last += u64::from(calm && left * LAST <= bought);
    }

    /// Adds what the death of a holder would strand.
    pub fn strand(&mut self, tokens: Tokens) {
        self.stranded.push(tokens);
    }

    /// Adds the writes of a second.
    pub fn second(&mut self, writes: u64) {
        self.per_second.push(writes);
    }

    fn peak(&self) -> f64 {
        let windows = self.per_second.chunks(WINDOW);
        let sums = windows.map(|window| window.iter().sum::<u64>());
        sums.max().unwrap_or(0) as f64 / WINDOW as f64
    }
}

/// The figures of one line.
#[derive(Clone, Debug, Display)]
#[display(
    "{overspent:.0},{refused:.5},{false_refusals:.6},{false_stranded:.6},{false_calm:.6},{false_last:.5},\
     {waited:.5},{stranded:.0},{reads:.1},{writes:.1},{peak:.1},{false_early:.6},{shortened:.6},{cpu:.4},{budgets:.1}"
)]
pub struct Figures {
    /// Tokens.
    overspent: f64,
    /// Share of the requests.
    refused: f64,
    /// Share of the requests.
    false_refusals: f64,
    /// Share of the requests, because a dead holder has the tokens.
    false_stranded: f64,
    /// Share of the requests while no region is cut off, for other reasons.
    false_calm: f64,
    /// Share of the requests to budgets in their last 5% that the unspent tokens cover, while no
    /// region is cut off.
    false_last: f64,
    /// Share of the requests that waited for a refill.
    waited: f64,
    /// Tokens that the death of a holder would strand, sampled over all holders.
    stranded: f64,
    /// Per second.
    reads: f64,
    /// Rows per second.
    writes: f64,
    /// Rows per second in the busiest ten seconds.
    peak: f64,
    /// Percent of a core per holder.
    cpu: f64,
    /// Budgets per holder at the end.
    budgets: f64,
    /// Share of the requests in the first seconds.
    false_early: f64,
    /// Share of the requests that were served with a smaller answer limit.
    shortened: f64,
}

impl Figures {
    /// Names of the columns.
    pub const HEADER: &str = "overspent_tokens,refused_share,false_refusal_share,\
        false_refusal_share_stranded,false_refusal_share_calm,false_refusal_share_last_5_percent,waited_share,\
        stranded_tokens_per_death,reads_per_second,writes_per_second,peak_writes_per_second,\
        false_refusal_share_first_30_seconds,shortened_share,cpu_percent_per_holder,budgets_per_holder";

    pub fn new(tally: &Tally, nodes: &[Node], seconds: u64) -> Self {
        let share = |count: u64, of: u64| count as f64 / of.max(1) as f64;
        let hosts = nodes.len() as f64;
        let cpu: f64 = nodes.iter().map(|node| node.cpu.as_secs_f64()).sum();
        let budgets: usize = nodes.iter().map(|node| node.holder.shares().len()).sum();
        let stranded: Tokens = tally.stranded.iter().sum();
        Self {
            overspent: tally.overspent as f64,
            refused: share(tally.refused, tally.requests),
            false_refusals: share(tally.false_refusals, tally.requests),
            false_stranded: share(tally.false_stranded, tally.requests),
            false_calm: share(tally.false_calm, tally.calm),
            false_last: share(tally.false_last, tally.last),
            waited: share(tally.waited, tally.requests),
            stranded: share(stranded, tally.stranded.len() as u64),
            reads: share(tally.reads, seconds),
            writes: share(tally.writes, seconds),
            peak: tally.peak(),
            cpu: 100.0 * cpu / hosts / seconds as f64,
            budgets: budgets as f64 / hosts,
            false_early: share(tally.false_early, tally.early),
            shortened: share(tally.shortened, tally.requests),
        }
    }

    /// Returns the median of each figure; `None` when there are no runs.
    pub fn medians(runs: &[Self]) -> Option<Self> {
        let median = |figure: fn(&Self) -> f64| {
            let mut values: Vec<_> = runs.iter().map(figure).collect();
            values.sort_by(f64::total_cmp);
            values.get(values.len() / 2).copied()
        };
        Some(Self {
            overspent: runs.iter().map(|run| run.overspent).reduce(f64::max)?,
            refused: median(|run| run.refused)?,
            false_refusals: median(|run| run.false_refusals)?,
            false_stranded: median(|run| run.false_stranded)?,
            false_calm: median(|run| run.false_calm)?,
            false_last: median(|run| run.false_last)?,
            waited: median(|run| run.waited)?,
            stranded: median(|run| run.stranded)?,
            reads: median(|run| run.reads)?,
            writes: median(|run| run.writes)?,
            peak: median(|run| run.peak)?,
            cpu: median(|run| run.cpu)?,
            budgets: median(|run| run.budgets)?,
            false_early: median(|run| run.false_early)?,
            shortened: median(|run| run.shortened)?,
        })
    }
}

//! The duty that turns journals into billed segments, under a lease.

use {
    crate::{control::Control, logs::TOKENS, metrics::Metrics},
    derive_more::{Display, Error, From},
    marigoldroute_core::{
        bill::{self, INDEX_PREFIX, Lease, Ledger, Page, Settings, index_prefix},
        budget::journal,
        claim, fault,
        id::{HolderId, HostId, Region},
        table::{Row, Transaction, Verdict},
    },
    marigoldroute_platform::{Client, Fault},
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio_util::sync::CancellationToken,
};

const NAME: &str = "ledger";
/// Rounds for which a lease is taken; it is renewed in each.
const TERM_ROUNDS: u32 = 3;
/// Greater than every sequence; keys hold 12 digits.
const LAST_SEQUENCE: u64 = 999_999_999_999;
/// Rows and objects deleted in one round.
const SWEEP_ROWS: usize = 200;
/// Rows read by one call.
const PAGE_ROWS: usize = 1_000;

/// Why a round ended early.
#[derive(Debug, Display, Error, From)]
enum Broken {
    #[display("{_0}")]
    Platform(Fault),
    #[display("{_0}")]
    Row(fault::Fault),
    #[display("another process changed the rows")]
    #[from(skip)]
    Overtaken,
}

/// What the duty works with.
pub(crate) struct Duty {
    pub(crate) process: HolderId,
    pub(crate) host: HostId,
    pub(crate) region: Region,
    pub(crate) platform: Client,
    pub(crate) control: Control,
    pub(crate) metrics: Arc<Metrics>,
    /// Time between two rounds over all journals.
    pub(crate) interval: Duration,
}

impl Duty {
    /// Runs rounds until `stop` while this host is the one for the duty.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(self.interval);
        let mut ledger = None;
        // Key of the last claim row that was looked at.
        let mut swept = String::new();
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = stop.cancelled() => break,
            }
            if !self.is_first() {
                ledger = None;
                continue;
            }
            if let Err(broken) = self.round(&mut ledger, &mut swept).await {
                ledger = None;
                self.metrics.platform_faults.inc();
                log::warn!(target: TOKENS, broken:%; "ledger round ended early");
            }
        }
        if ledger.is_some() {
            // A lease that stays keeps the next host waiting until it has passed.
            let _ = self.lease(Duration::ZERO).await;
        }
    }

    /// Returns whether this host is the first for the duty; the lease decides when two hosts
    /// take themselves for it.
    fn is_first(&self) -> bool {
        let scene = self.control.scene();
        let holders = scene.holders(NAME, &self.region, 1);
        let best = holders.iter().map(|holder| holder.host).min();
        best.is_some_and(|host| *host == self.host)
    }

    async fn round(&self, ledger: &mut Option<Ledger>, swept: &mut String) -> Result<(), Broken> {
        let Some(lease) = self.lease(self.interval * TERM_ROUNDS).await? else {
            *ledger = None;
            return Ok(());
        };
        let ledger = match ledger {
            Some(ledger) => {
                ledger.renew(&lease)?;
                ledger
            }
            None => {
                let cursors = self.platform.scan_all("ledger/").await?;
                ledger.insert(Ledger::new(&lease, &cursors, Settings::default())?)
            }
        };
        while let Some(holder) = ledger.urgent().cloned() {
            self.visit(ledger, &holder).await?;
        }
        for holder in self.holders().await? {
            self.visit(ledger, &holder).await?;
        }
        self.trim_index(ledger).await?;
        self.sweep_claims(swept).await
    }

    /// Takes or renews the lease for a time; `None` while another process has it.
    async fn lease(&self, term: Duration) -> Result<Option<Row>, Broken> {
        let key = format!("lease/{NAME}");
        let row = self.platform.get(&key).await?;
        let transaction = Lease::acquire(NAME, row.as_ref(), &self.process, wall(), term)?;
        let Some(transaction) = transaction else {
            return Ok(None);
        };
        // The row read back tells whether it took effect, also after a lost answer.
        let _ = self.platform.commit(&transaction).await;
        let row = self.platform.get(&key).await?;
        Ok(Lease::confirm(&transaction, row, &self.process))
    }

    /// Returns every holder that has journal rows, with one read for each.
    async fn holders(&self) -> Result<BTreeSet<HolderId>, Broken> {
        let mut holders = BTreeSet::new();
        let mut after = String::new();
        loop {
            let rows = self.platform.scan("journal/", &after, 1).await?;
            let Some(holder) = rows.first().and_then(|row| journal::holder(&row.key)) else {
                return Ok(holders);
            };
            holders.insert(holder.into());
            after = journal::key(holder, LAST_SEQUENCE);
        }
    }

    /// Deletes index objects that are older than every bill that may still count.
    async fn trim_index(&self, ledger: &Ledger) -> Result<(), Broken> {
        let end = index_prefix(ledger.oldest(wall()));
        let keys = self.platform.list_objects(INDEX_PREFIX).await?;
        let old = keys.iter().filter(|key| key.as_str() < end.as_str());
        for key in old.take(SWEEP_ROWS) {
            self.platform.delete_object(key).await?;
        }
        Ok(())
    }

    /// Deletes expired claims on the next page of their rows.
    async fn sweep_claims(&self, swept: &mut String) -> Result<(), Broken> {
        let rows = self.platform.scan("claim/", swept, PAGE_ROWS).await?;
        let retention = claim::Settings::default().retention;
        let sweep = claim::sweep(&rows, wall(), retention, SWEEP_ROWS);
        if !sweep.transaction.writes.is_empty() {
            // Rows that changed meanwhile are read again by a later sweep.
            self.platform.commit(&sweep.transaction).await?;
        }
        for key in &sweep.objects {
            self.platform.delete_object(key).await?;
        }
        let is_last = rows.len() < PAGE_ROWS;
        let next = rows.last().filter(|_| !is_last);
        *swept = next.map_or_else(String::new, |row| row.key.to_string());
        Ok(())
    }

    /// Bills all journal rows of a holder.
    async fn visit(&self, ledger: &mut Ledger, holder: &HolderId) -> Result<(), Broken> {
        loop {
            let page = self.page(holder).await?;
            let transaction = match page.batch() {
                Some(_) => self.close(ledger, &page).await?,
                None => self.decide(ledger, &page).await?,
            };
            let Some(transaction) = transaction else {
                return Ok(());
            };
            if self.platform.commit(&transaction).await? != Verdict::Committed {
                return Err(Broken::Overtaken);
            }
        }
    }

    async fn page(&self, holder: &HolderId) -> Result<Page, Broken> {
        let cursor = self.platform.get(&bill::key(holder)).await?;
        let (prefix, after) = Page::range(holder, &Page::cursor(cursor.as_ref())?);
        let rows = self.platform.scan(&prefix, &after, PAGE_ROWS).await?;
        Ok(Page::decode(holder.clone(), cursor.as_ref(), &rows)?)
    }

    /// Writes the objects of an open batch.
    async fn close(&self, ledger: &mut Ledger, page: &Page) -> Result<Option<Transaction>, Broken> {
        for object in ledger.publish(page) {
            self.platform.put_object(&object.key, object.value).await?;
        }
        Ok(ledger.close(page))
    }

    async fn decide(
        &self,
        ledger: &mut Ledger,
        page: &Page,
    ) -> Result<Option<Transaction>, Broken> {
        let wall = wall();
        for slot in ledger.slots(wall, page) {
            let mut objects = Vec::new();
            for key in self.platform.list_objects(&index_prefix(slot)).await? {
                objects.extend(self.platform.get_object(&key).await?);
            }
            ledger.load(slot, &objects)?;
        }
        let accounts = self.platform.get_all(&ledger.accounts(wall, page)).await?;
        let Some(decided) = ledger.decide(wall, page, &accounts)? else {
            return Ok(None);
        };
        for bill in decided.repeated.iter().chain(&decided.late) {
            log::info!(target: TOKENS, request:% = bill.request, charged = bill.charged; "second bill dropped");
        }
        Ok(Some(decided.transaction))
    }
}

fn wall() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

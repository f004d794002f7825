//! The duty that turns journals into billed segments, under a lease.

use {
    crate::{control::Control, logs::TOKENS, metrics::Metrics},
    derive_more::{Display, Error, From},
    marigoldroute_core::{
        bill::{
            self, INDEX_PREFIX, Lease, Ledger, Page, REMOVAL_LIMIT_ROWS, Settings, index_prefix,
        },
        budget::journal,
        claim, fault,
        id::{HolderId, HostId, Region},
        retention::{self, AUDIT_PREFIX, CURSOR_KEY, VERSION_PREFIX},
        table::{Row, Transaction, Verdict},
    },
    marigoldroute_store::{Client, Fault},
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
/// The opening row, then the other rows.
const REMOVAL_STEPS: usize = 2;
/// Journals removed in one round.
const RETIRED_JOURNALS: usize = 32;
/// Rows read by one call.
const PAGE_ROWS: usize = 1_000;

/// Why a round ended early.
#[derive(Debug, Display, Error, From)]
enum RoundError {
    #[display("{_0}")]
    Platform(Fault),
    #[display("{_0}")]
    Row(fault::Fault),
    #[display("another process changed the rows")]
    #[from(skip)]
    Overtaken,
}

/// What the duty works with.
pub(crate) struct Worker {
    pub(crate) process: HolderId,
    pub(crate) host: HostId,
    pub(crate) region: Region,
    pub(crate) platform: Client,
    pub(crate) control: Control,
    pub(crate) metrics: Arc<Metrics>,
    /// Time between two rounds over all journals.
    pub(crate) interval: Duration,
}

impl Worker {
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
            if !self.is_preferred_host() {
                ledger = None;
                continue;
            }
            if let Err(error) = self.round(&mut ledger, &mut swept).await {
                ledger = None;
                self.metrics.platform_faults.inc();
                log::warn!(target: TOKENS, broken:% = error; "ledger round ended early");
            }
        }
        if ledger.is_some() {
            // A lease that stays keeps the next host waiting until it has passed.
            let _ = self.lease(Duration::ZERO).await;
        }
    }

    /// Returns whether this host is the first for the duty; the lease decides when two hosts
    /// take themselves for it.
    fn is_preferred_host(&self) -> bool {
        let snapshot = self.control.snapshot();
        let holders = snapshot.holders(NAME, &self.region, 1);
        let best = holders.iter().map(|holder| holder.host).min();
        best.is_some_and(|host| *host == self.host)
    }

    async fn round(
        &self,
        ledger: &mut Option<Ledger>,
        swept: &mut String,
    ) -> Result<(), RoundError> {
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
        while let Some(holder) = ledger.blocking_holder().cloned() {
            self.visit(ledger, &holder).await?;
        }
        let mut retired = 0;
        for holder in self.holders().await? {
            let page = self.visit(ledger, &holder).await?;
            if retired < RETIRED_JOURNALS && ledger.is_removal_due(wall(), &page) {
                retired += 1;
                self.retire(ledger, page).await?;
            }
        }
        self.trim_index(ledger).await?;
        self.sweep_claims(swept).await?;
        self.sweep_operators(&lease).await
    }

    /// Takes or renews the lease for a time; `None` while another process has it.
    async fn lease(&self, term: Duration) -> Result<Option<Row>, RoundError> {
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
    async fn holders(&self) -> Result<BTreeSet<HolderId>, RoundError> {
        let mut holders = BTreeSet::new();
        let mut after = String::new();
        loop {
            let rows = self.platform.scan("journal/", &after, 1).await?;
            let Some(holder) = rows
                .first()
                .and_then(|row| journal::holder_of_key(&row.key))
            else {
                return Ok(holders);
            };
            holders.insert(holder.into());
            after = journal::key(holder, LAST_SEQUENCE);
        }
    }

    /// Deletes index objects that are older than every bill that may still count.
    async fn trim_index(&self, ledger: &Ledger) -> Result<(), RoundError> {
        let end = index_prefix(ledger.oldest_slot(wall()));
        let keys = self.platform.list_objects(INDEX_PREFIX).await?;
        let old = keys.iter().filter(|key| key.as_str() < end.as_str());
        for key in old.take(SWEEP_ROWS) {
            self.platform.delete_object(key).await?;
        }
        Ok(())
    }

    /// Deletes expired claims on the next page of their rows.
    async fn sweep_claims(&self, swept: &mut String) -> Result<(), RoundError> {
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

    /// Removes operators' rows that are past their retention, a bounded number.
    async fn sweep_operators(&self, lease: &Row) -> Result<(), RoundError> {
        let mut settings = retention::Settings::default();
        if let Some(history) = self.control.snapshot().catalog.limits.history {
            settings.history = history;
        }
        let rows = settings.row_limit;
        let cursor = self.platform.get(CURSOR_KEY).await?;
        let after = retention::position(cursor.as_ref());
        let audit = self.platform.scan(AUDIT_PREFIX, &after, rows).await?;
        // After a conflict a later round looks again.
        if let Some(forget) =
            retention::expire_requests(lease, cursor.as_ref(), &audit, wall(), &settings)
        {
            self.platform.commit(&forget).await?;
        }
        let audit = self.platform.scan(AUDIT_PREFIX, "", rows).await?;
        let versions = self.platform.scan(VERSION_PREFIX, "", rows).await?;
        let cursor = cursor.as_ref();
        let trim = retention::expire_history(lease, cursor, &audit, &versions, wall(), &settings);
        if let Some(trim) = trim {
            self.platform.commit(&trim).await?;
        }
        Ok(())
    }

    /// Bills all journal rows of a holder, and returns its cursor as it is then.
    async fn visit(&self, ledger: &mut Ledger, holder: &HolderId) -> Result<Page, RoundError> {
        loop {
            let page = self.page(holder).await?;
            let transaction = match page.open_batch() {
                Some(_) => self.close(ledger, &page).await?,
                None => self.decide(ledger, &page).await?,
            };
            let Some(transaction) = transaction else {
                return Ok(page);
            };
            if self.platform.commit(&transaction).await? != Verdict::Committed {
                return Err(RoundError::Overtaken);
            }
        }
    }

    /// Removes what is left of a journal that ended long ago.
    async fn retire(&self, ledger: &Ledger, mut page: Page) -> Result<(), RoundError> {
        let holder = page.holder().clone();
        for _ in 0..REMOVAL_STEPS {
            let opening = self.platform.get(&journal::opening_key(&holder)).await?;
            let prefix = journal::prefix(&holder);
            let rows = self.platform.scan(&prefix, "", REMOVAL_LIMIT_ROWS).await?;
            let transaction = ledger.remove_journal(&page, opening.as_ref(), &rows);
            let verdict = self.platform.commit(&transaction).await?;
            page = self.page(&holder).await?;
            // A later round looks again at a journal that got a late bill.
            if verdict != Verdict::Committed || !ledger.is_removal_due(wall(), &page) {
                break;
            }
        }
        log::info!(target: TOKENS, holder:%; "journal of an ended holder removed");
        Ok(())
    }

    async fn page(&self, holder: &HolderId) -> Result<Page, RoundError> {
        let cursor = self.platform.get(&bill::cursor_key(holder)).await?;
        let (prefix, after) = Page::scan_range(holder, &Page::decode_cursor(cursor.as_ref())?);
        let rows = self.platform.scan(&prefix, &after, PAGE_ROWS).await?;
        Ok(Page::decode(holder.clone(), cursor.as_ref(), &rows)?)
    }

    /// Writes the objects of an open batch.
    async fn close(
        &self,
        ledger: &mut Ledger,
        page: &Page,
    ) -> Result<Option<Transaction>, RoundError> {
        for object in ledger.publish(page) {
            self.platform.put_object(&object.key, object.value).await?;
        }
        Ok(ledger.close(page))
    }

    async fn decide(
        &self,
        ledger: &mut Ledger,
        page: &Page,
    ) -> Result<Option<Transaction>, RoundError> {
        let wall = wall();
        for slot in ledger.missing_slots(wall, page) {
            let mut objects = Vec::new();
            for key in self.platform.list_objects(&index_prefix(slot)).await? {
                objects.extend(self.platform.get_object(&key).await?);
            }
            ledger.load(slot, &objects)?;
        }
        let accounts = self
            .platform
            .get_all(&ledger.account_keys(wall, page))
            .await?;
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

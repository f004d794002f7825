//! The background task that turns journals into billed segments. At most one process of the fleet
//! runs it at a time, under a lease.

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

/// Name of the lease and key by which the preferred host is chosen.
const NAME: &str = "ledger";
/// Length of the lease in rounds; it is renewed in each round.
const LEASE_ROUNDS: u32 = 3;
/// Greatest sequence number; keys hold 12 digits.
const LAST_SEQUENCE: u64 = 999_999_999_999;
/// Largest number of claim rows, and of index objects, deleted in one round.
const SWEEP_LIMIT: usize = 200;
/// Transactions that remove a journal: one for the opening row, then one for the other rows.
const REMOVAL_STEPS: usize = 2;
/// Largest number of journals removed in one round.
const REMOVED_JOURNALS_LIMIT: usize = 32;
/// Largest number of rows read by one call.
const PAGE_ROWS: usize = 1_000;

/// Why a round ended before its last step.
#[derive(Debug, Display, Error, From)]
enum RoundError {
    #[display("{_0}")]
    Platform(Fault),
    #[display("{_0}")]
    Row(fault::Fault),
    #[display("another process changed the rows")]
    #[from(skip)]
    Conflict,
}

/// The background task and its dependencies.
pub(crate) struct Worker {
    pub(crate) process: HolderId,
    pub(crate) host: HostId,
    pub(crate) region: Region,
    pub(crate) platform: Client,
    pub(crate) control: Control,
    pub(crate) metrics: Arc<Metrics>,
    /// Interval between two rounds over all journals.
    pub(crate) interval: Duration,
}

impl Worker {
    /// Runs rounds until `stop`, while this host is the preferred one.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(self.interval);
        let mut ledger = None;
        // Key of the last claim row that was checked for expiry.
        let mut sweep_position = String::new();
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = stop.cancelled() => break,
            }
            if !self.is_preferred_host() {
                ledger = None;
                continue;
            }
            if let Err(error) = self.round(&mut ledger, &mut sweep_position).await {
                ledger = None;
                self.metrics.platform_faults.inc();
                log::warn!(target: TOKENS, broken:% = error; "ledger round ended early");
            }
        }
        if ledger.is_some() {
            // Ends the lease early, so that the next host need not wait until it has passed.
            let _ = self.lease(Duration::ZERO).await;
        }
    }

    /// Returns whether this host is the preferred one for the task. Hosts with different views of
    /// the fleet may disagree; the lease then decides.
    fn is_preferred_host(&self) -> bool {
        let snapshot = self.control.snapshot();
        let holders = snapshot.holders(NAME, &self.region, 1);
        let best = holders.iter().map(|holder| holder.host).min();
        best.is_some_and(|host| *host == self.host)
    }

    async fn round(
        &self,
        ledger: &mut Option<Ledger>,
        sweep_position: &mut String,
    ) -> Result<(), RoundError> {
        let Some(lease) = self.lease(self.interval * LEASE_ROUNDS).await? else {
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
            self.bill_journal(ledger, &holder).await?;
        }
        let mut removed = 0;
        for holder in self.holders().await? {
            let page = self.bill_journal(ledger, &holder).await?;
            if removed < REMOVED_JOURNALS_LIMIT && ledger.is_removal_due(wall(), &page) {
                removed += 1;
                self.remove_journal(ledger, page).await?;
            }
        }
        self.trim_index(ledger).await?;
        self.sweep_claims(sweep_position).await?;
        self.sweep_operators(&lease).await
    }

    /// Takes or renews the lease for `term`; returns its row, or `None` while another process holds
    /// it.
    async fn lease(&self, term: Duration) -> Result<Option<Row>, RoundError> {
        let key = format!("lease/{NAME}");
        let row = self.platform.get(&key).await?;
        let transaction = Lease::acquire(NAME, row.as_ref(), &self.process, wall(), term)?;
        let Some(transaction) = transaction else {
            return Ok(None);
        };
        // The row read back shows whether the commit took effect, even if its answer was lost.
        let _ = self.platform.commit(&transaction).await;
        let row = self.platform.get(&key).await?;
        Ok(Lease::confirm(&transaction, row, &self.process))
    }

    /// Returns every holder that has journal rows, with one read per holder.
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

    /// Deletes index objects that are older than the slots in which repeated bills are looked up.
    async fn trim_index(&self, ledger: &Ledger) -> Result<(), RoundError> {
        let end = index_prefix(ledger.oldest_slot(wall()));
        let keys = self.platform.list_objects(INDEX_PREFIX).await?;
        let old = keys.iter().filter(|key| key.as_str() < end.as_str());
        for key in old.take(SWEEP_LIMIT) {
            self.platform.delete_object(key).await?;
        }
        Ok(())
    }

    /// Deletes expired claims of the next page of claim rows.
    async fn sweep_claims(&self, sweep_position: &mut String) -> Result<(), RoundError> {
        let rows = self
            .platform
            .scan("claim/", sweep_position, PAGE_ROWS)
            .await?;
        let retention = claim::Settings::default().retention;
        let sweep = claim::sweep(&rows, wall(), retention, SWEEP_LIMIT);
        if !sweep.transaction.writes.is_empty() {
            // Rows that have changed since the read are read again by a later sweep.
            self.platform.commit(&sweep.transaction).await?;
        }
        for key in &sweep.objects {
            self.platform.delete_object(key).await?;
        }
        let is_last = rows.len() < PAGE_ROWS;
        let next = rows.last().filter(|_| !is_last);
        *sweep_position = next.map_or_else(String::new, |row| row.key.to_string());
        Ok(())
    }

    /// Removes a bounded number of audit, version and request rows that are past their retention.
    async fn sweep_operators(&self, lease: &Row) -> Result<(), RoundError> {
        let mut settings = retention::Settings::default();
        if let Some(history) = self.control.snapshot().catalog.limits.history {
            settings.history = history;
        }
        let rows = settings.row_limit;
        let cursor = self.platform.get(CURSOR_KEY).await?;
        let after = retention::position(cursor.as_ref());
        let audit = self.platform.scan(AUDIT_PREFIX, &after, rows).await?;
        // After a conflict, a later round retries.
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

    /// Bills all journal rows of a holder, and returns the page that is left.
    async fn bill_journal(
        &self,
        ledger: &mut Ledger,
        holder: &HolderId,
    ) -> Result<Page, RoundError> {
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
                return Err(RoundError::Conflict);
            }
        }
    }

    /// Removes the remaining rows of a journal that ended longer ago than its retention.
    async fn remove_journal(&self, ledger: &Ledger, mut page: Page) -> Result<(), RoundError> {
        let holder = page.holder().clone();
        for _ in 0..REMOVAL_STEPS {
            let opening = self.platform.get(&journal::opening_key(&holder)).await?;
            let prefix = journal::prefix(&holder);
            let rows = self.platform.scan(&prefix, "", REMOVAL_LIMIT_ROWS).await?;
            let transaction = ledger.remove_journal(&page, opening.as_ref(), &rows);
            let verdict = self.platform.commit(&transaction).await?;
            page = self.page(&holder).await?;
            // A journal that got a late bill is left to a later round.
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

    /// Writes the objects of an open batch; returns the transaction that closes it.
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
            log::info!(target: TOKENS, request:% = bill.request, charged = bill.charged; "repeated bill dropped");
        }
        Ok(Some(decided.transaction))
    }
}

fn wall() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

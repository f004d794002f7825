//! Journals, the ledger and its memory.

use {
    super::{Settings, resident},
    anyhow::{Context, Result},
    marigoldroute_core::{
        bill::{self, Bill, Ledger, Page, new_request_id},
        budget::{Entry, Journal, Share},
        id::{HolderId, Tokens},
        table::{Memory, Row, Transaction},
    },
    std::{
        collections::BTreeMap,
        io::Write,
        time::{Duration, Instant},
    },
};

const EPOCH: Duration = Duration::from_secs(1_800_000_000);
const LEASE: &str = r#"{"holder":"host-000.1","fencing":1,"until":1800000030}"#;
/// Ids for the measurement of memory: the peak rate for 600 s.
const IDS: u64 = 1_920_000;
/// Seconds from a request to its bill.
const DURATION: u64 = 20;

#[derive(Default)]
struct Cost {
    bills: u64,
    decode: Duration,
    decide: Duration,
    publish: Duration,
    transactions: u64,
    rows: u64,
    objects: u64,
    object_bytes: u64,
    index_bytes: u64,
    peak_ids: usize,
}

impl Cost {
    fn total(&self) -> Duration {
        self.decode + self.decide + self.publish
    }
}

/// Prints the figures of journals and of the ledger.
pub fn run(settings: &Settings, out: &mut impl Write) -> Result<()> {
    bytes(settings, out)?;
    let rounds = (0..settings.rounds).map(|_| bill_all(settings));
    let mut rounds = rounds.collect::<Result<Vec<_>>>()?;
    rounds.sort_by_key(Cost::total);
    let (lowest, highest) = (rounds[0].total(), rounds[rounds.len() - 1].total());
    let cost = rounds.swap_remove(rounds.len() / 2);
    let seconds = (settings.visit * settings.visits) as f64;
    let per_bill = |time: Duration| time.as_nanos() as f64 / cost.bills as f64;
    writeln!(out, "bills,ledger,{},bills", cost.bills)?;
    for (case, time) in [
        ("decode", cost.decode),
        ("decide", cost.decide),
        ("publish", cost.publish),
        ("all", cost.total()),
        ("all (lowest round)", lowest),
        ("all (highest round)", highest),
    ] {
        writeln!(
            out,
            "processor time per bill,{case},{:.0},ns",
            per_bill(time)
        )?;
    }
    let share = cost.total().as_secs_f64() / seconds * 100.0;
    writeln!(
        out,
        "processor share of the ledger,peak,{share:.2},% of a core"
    )?;
    for (figure, value) in [
        ("ledger transactions", cost.transactions),
        ("ledger row writes", cost.rows),
        ("objects written", cost.objects),
        ("object bytes written", cost.object_bytes),
    ] {
        writeln!(out, "{figure},peak,{:.1},per s", value as f64 / seconds)?;
    }
    let index = cost.index_bytes as f64 / cost.bills as f64;
    writeln!(out, "index object,per bill,{index:.1},bytes")?;
    let segment = (cost.object_bytes - cost.index_bytes) as f64 / cost.bills as f64;
    writeln!(out, "segment object,per bill,{segment:.1},bytes")?;
    writeln!(out, "request ids in memory,peak,{},ids", cost.peak_ids)?;
    Ok(())
}

fn bytes(settings: &Settings, out: &mut impl Write) -> Result<()> {
    let bill = serde_json::to_string(&sample(EPOCH, 0, 0))?;
    writeln!(out, "bill,JSON,{},bytes", bill.len())?;
    let bills = settings.rate * settings.flush / settings.hosts as u64;
    for (case, bills) in [
        ("no bills", 0),
        ("peak", bills),
        ("ten times the peak", bills * 10),
    ] {
        let row = row(settings, &"host-000.1234567890".into(), EPOCH, bills)?;
        writeln!(
            out,
            "journal row with {bills} bills,{case},{},bytes",
            row.len()
        )?;
    }
    Ok(())
}

/// Prints the bytes of a request id in the cache of the ledger.
pub fn memory(out: &mut impl Write) -> Result<()> {
    let lease = Row {
        key: "lease/ledger".into(),
        version: 1,
        value: LEASE.into(),
    };
    let mut ledger = Ledger::new(&lease, &[], bill::Settings::default())?;
    let before = resident()?;
    for slot in 0..10 {
        let ids = (0..IDS / 10).map(|n| ((slot << 32) | n).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let object: Vec<u8> = ids.flat_map(u64::to_be_bytes).collect();
        ledger.load(slot, &[object])?;
    }
    let bytes = resident()?.saturating_sub(before);
    let ids = ledger.cached_fingerprints();
    writeln!(
        out,
        "cached request id,{ids} ids,{:.1},bytes",
        bytes as f64 / ids as f64
    )?;
    Ok(())
}

/// Appends the journal rows of every interval and visits every holder after it.
fn bill_all(settings: &Settings) -> Result<Cost> {
    let lease = Row {
        key: "lease/ledger".into(),
        version: 1,
        value: LEASE.into(),
    };
    let mut table = Memory::default();
    let mut create = Transaction::default();
    create.put("lease/ledger", LEASE);
    table.commit(&create);
    let mut ledger = Ledger::new(&lease, &[], bill::Settings::default())?;
    let mut index: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    let mut cost = Cost::default();
    let bills = settings.rate * settings.flush / settings.hosts as u64;
    let rows = settings.visit / settings.flush;
    for visit in 0..settings.visits {
        for host in 0..settings.hosts {
            let holder: HolderId = format!("host-{host:03}.1234567890").into();
            for n in 0..rows {
                let sequence = visit * rows + n + 1;
                let wall = EPOCH + Duration::from_secs(sequence * settings.flush);
                let mut append = Transaction::default();
                let key = format!("journal/{holder}/{sequence:012}");
                append.put(key, row(settings, &holder, wall, bills)?);
                table.commit(&append);
            }
            let wall = EPOCH + Duration::from_secs((visit + 1) * settings.visit);
            for _ in 0..2 {
                step(
                    &mut ledger,
                    &mut table,
                    &mut index,
                    &holder,
                    wall,
                    &mut cost,
                )?;
            }
        }
    }
    Ok(cost)
}

/// One visit: decides a batch, or publishes and closes it.
fn step(
    ledger: &mut Ledger,
    table: &mut Memory,
    index: &mut BTreeMap<String, Vec<u8>>,
    holder: &HolderId,
    wall: Duration,
    cost: &mut Cost,
) -> Result<()> {
    let cursor_row = table.get(&bill::cursor_key(holder)).cloned();
    let cursor = Page::decode_cursor(cursor_row.as_ref())?;
    let (prefix, after) = Page::scan_range(holder, &cursor);
    let rows = table.scan(&prefix, &after, bill::Settings::default().batch_rows);
    let start = Instant::now();
    let page = Page::decode(holder.clone(), cursor_row.as_ref(), &rows)?;
    cost.decode += start.elapsed();
    let transaction = if page.open_batch().is_some() {
        let start = Instant::now();
        let objects = ledger.publish(&page);
        let close = ledger.close(&page);
        cost.publish += start.elapsed();
        cost.objects += objects.len() as u64;
        for object in objects {
            cost.object_bytes += object.value.len() as u64;
            if object.key.starts_with(bill::INDEX_PREFIX) {
                cost.index_bytes += object.value.len() as u64;
                cost.bills += object.value.len() as u64 / 8;
                index.insert(object.key.to_string(), object.value);
            }
        }
        close.context("no open batch")?
    } else {
        for slot in ledger.missing_slots(wall, &page) {
            let prefix = bill::index_prefix(slot);
            let objects = index
                .range(prefix.clone()..)
                .take_while(|(key, _)| key.starts_with(&prefix));
            let objects: Vec<_> = objects.map(|(_, value)| value.clone()).collect();
            ledger.load(slot, &objects)?;
        }
        let start = Instant::now();
        let decided = ledger.decide(wall, &page, &[])?;
        cost.decide += start.elapsed();
        decided.context("nothing to decide")?.transaction
    };
    cost.transactions += 1;
    cost.rows += transaction.writes.len() as u64;
    cost.peak_ids = cost.peak_ids.max(ledger.cached_fingerprints());
    table.commit(&transaction);
    Ok(())
}

fn row(settings: &Settings, holder: &HolderId, wall: Duration, bills: u64) -> Result<String> {
    let share = Share {
        bound: None,
        allocated: 1_234_567,
        mark: 1_200_000,
        spent: 765_432,
    };
    let shares = (0..settings.budgets).map(|n| (format!("budget-{n:05}").into(), share));
    let digits: Tokens = holder[5..8].parse()?;
    let ids = (0..bills).map(|n| (digits << 32) | ((wall.as_secs() % 100_000) << 12) | n);
    let sent = wall - Duration::from_secs(DURATION);
    Ok(serde_json::to_string(&Journal {
        author: holder.clone(),
        era: None,
        entry: Entry::Flush {
            shares: shares.collect(),
            bills: ids
                .map(|id| sample(sent, id, settings.budgets as u64))
                .collect(),
        },
    })?)
}

fn sample(wall: Duration, id: u64, budgets: u64) -> Bill {
    Bill {
        request: new_request_id(wall, id),
        workspace: "directorate/howrah/hemming-07".into(),
        budget: format!("budget-{:05}", id % budgets.max(1)).into(),
        model: "drafting-large".into(),
        upstream: "engine-0123".into(),
        charged: 1_000 + id % 997,
        uncovered: 0,
    }
}

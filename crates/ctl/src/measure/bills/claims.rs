//! Claims: bytes per row and in memory, and writes by rate of arrival.

use {
    super::{Settings, resident},
    anyhow::{Context, Result, bail},
    marigoldroute_core::{
        bill::new_request_id,
        claim::{
            self, Attempt, Body, Capability, Decision, Permit, Presence, Registry, Response,
            Timestamp, Unsent, sweep,
        },
        id::HolderId,
        table::Memory,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, io::Write, time::Duration},
};

/// Non-idempotent requests per second of one host.
const RATES: [f64; 6] = [0.1, 1.0, 10.0, 100.0, 300.0, 1_000.0];
/// Attempts for the measurement of memory.
const QUEUED: usize = 100_000;
/// Bytes of a recorded body.
const BODY: usize = 400;
/// Rows that one sweep deletes at most.
const SWEPT: usize = 64;

#[derive(Default)]
struct Cost {
    requests: u64,
    refused: u64,
    claims: u64,
    records: u64,
    sweeps: u64,
    rows: u64,
    waits: Vec<Duration>,
}

/// Prints the writes and waiting times of claims.
pub fn run(settings: &Settings, out: &mut impl Write) -> Result<()> {
    for rate in RATES {
        let mut cost = arrive(settings, rate)?;
        let per_request = |count: u64| count as f64 / (cost.requests - cost.refused) as f64;
        let case = format!("{rate} per s");
        for (figure, count) in [
            ("claim transactions per request", cost.claims),
            ("record transactions per request", cost.records),
            ("sweep transactions per request", cost.sweeps),
            ("rows written per request", cost.rows),
        ] {
            writeln!(out, "{figure},{case},{:.3},", per_request(count))?;
        }
        cost.waits.sort_unstable();
        for percent in [50, 95] {
            let wait = cost.waits[(cost.waits.len() - 1) * percent / 100];
            writeln!(
                out,
                "time to a claim p{percent},{case},{:.1},ms",
                wait.as_secs_f64() * 1e3
            )?;
        }
        writeln!(out, "requests refused,{case},{},", cost.refused)?;
    }
    Ok(())
}

/// Prints the bytes of claims and returns the attempts that were measured.
pub fn memory(out: &mut impl Write) -> Result<Registry> {
    let mut table = Memory::default();
    let mut registry = Registry::new("host-000.1234567890".into(), claim::Settings::default());
    let permit = claim_one(&mut registry, &mut table)?;
    let row_bytes = |table: &Memory| -> usize {
        let rows = table.scan("claim/", "", 1);
        rows.iter().map(|row| row.key.len() + row.value.len()).sum()
    };
    writeln!(out, "claim row,running,{},bytes", row_bytes(&table))?;
    let time = Timestamp::default();
    let Ok(permit) = permit.begin_send(time) else {
        bail!("the window is closed");
    };
    registry.backlog.push(permit.record(recorded()));
    let row = table.scan("claim/", "", 1).pop();
    let request = attempt(0).request;
    let record = registry
        .backlog
        .transaction_for(time.monotonic, &request, row.as_ref());
    table.commit(&record.context("nothing to record")?);
    let case = format!("done with {BODY} bytes of body");
    writeln!(out, "claim row,{case},{},bytes", row_bytes(&table))?;

    let settings = claim::Settings {
        queue_limit: QUEUED,
        ..claim::Settings::default()
    };
    let mut registry = Registry::new("host-000.1234567890".into(), settings);
    let before = resident()?;
    for n in 0..QUEUED {
        registry.submit(attempt(n as u64))?;
    }
    let bytes = resident()?.saturating_sub(before) as f64 / registry.queue_len() as f64;
    writeln!(out, "waiting claim,in memory,{bytes:.0},bytes")?;
    Ok(registry)
}

fn claim_one(registry: &mut Registry, table: &mut Memory) -> Result<Permit<Unsent>> {
    registry.submit(attempt(0))?;
    let Some(batch) = registry.next_batch(Timestamp::default()) else {
        bail!("no batch");
    };
    let verdict = table.commit(&batch.transaction);
    let presence = |_: &HolderId| Presence::Alive;
    match registry
        .decide(Timestamp::default(), batch, &verdict, &presence)
        .pop()
    {
        Some((_, Decision::Run(permit))) => Ok(permit),
        _ => bail!("the claim was not granted"),
    }
}

/// Requests arrive at random times at one host; one claim transaction is under way at a time.
fn arrive(settings: &Settings, rate: f64) -> Result<Cost> {
    let mut random = SmallRng::seed_from_u64(settings.seed);
    let mut table = Memory::default();
    let mut registry = Registry::new("host-000.1234567890".into(), claim::Settings::default());
    let presence = |_: &HolderId| Presence::Alive;
    let store = Duration::from_millis(settings.store);
    let end = Duration::from_secs(settings.arrivals);
    let mut arrivals = BTreeMap::new();
    let mut cost = Cost::default();
    let (mut next, mut free) = (Duration::ZERO, Duration::ZERO);
    loop {
        while next <= free && next < end {
            let attempt = attempt(cost.requests);
            arrivals.insert(attempt.request.clone(), next);
            cost.requests += 1;
            cost.refused += u64::from(registry.submit(attempt).is_err());
            let gap = -(1.0 - random.random::<f64>()).ln() / rate;
            next += Duration::from_secs_f64(gap);
        }
        let time = Timestamp {
            monotonic: free,
            wall: free,
        };
        let Some(batch) = registry.next_batch(time) else {
            if next >= end {
                break;
            }
            free = next;
            continue;
        };
        free += store;
        cost.claims += 1;
        cost.rows += batch.transaction.writes.len() as u64;
        let verdict = table.commit(&batch.transaction);
        let time = Timestamp {
            monotonic: free,
            wall: free,
        };
        for (request, decision) in registry.decide(time, batch, &verdict, &presence) {
            let Decision::Run(permit) = decision else {
                bail!("a claim was not granted");
            };
            cost.waits
                .extend(arrivals.remove(&request).map(|at| free - at));
            if let Ok(permit) = permit.begin_send(time) {
                registry.backlog.push(permit.record(recorded()));
            }
        }
        record(&mut registry, &mut table, free, &mut cost);
    }
    expire(&mut table, &mut cost);
    Ok(cost)
}

fn record(registry: &mut Registry, table: &mut Memory, now: Duration, cost: &mut Cost) {
    while let Some(update) = registry.backlog.next_due(now) {
        let (request, row) = (update.request.clone(), table.get(&update.key).cloned());
        if let Some(transaction) = registry
            .backlog
            .transaction_for(now, &request, row.as_ref())
        {
            cost.records += 1;
            cost.rows += transaction.writes.len() as u64;
            table.commit(&transaction);
            registry.backlog.complete(now, &request);
        }
    }
}

fn expire(table: &mut Memory, cost: &mut Cost) {
    let retention = claim::Settings::default().retention;
    loop {
        let rows = table.scan("claim/", "", SWEPT);
        let step = sweep(&rows, retention * 2, retention, SWEPT);
        if step.transaction.writes.is_empty() {
            return;
        }
        cost.sweeps += 1;
        cost.rows += step.transaction.writes.len() as u64;
        table.commit(&step.transaction);
    }
}

fn attempt(number: u64) -> Attempt {
    Attempt {
        workspace: "directorate/howrah/hemming-07".into(),
        key: format!("order-{number}").into(),
        body: claim::digest(&[b"POST", b"/services/orders", &number.to_be_bytes()]),
        request: new_request_id(Duration::from_secs(1_800_000_000), number),
        capability: Capability::Query,
    }
}

fn recorded() -> Response {
    Response {
        status: 201,
        content_type: "application/json".into(),
        body: Body::inline(&[b'x'; BODY], claim::Settings::default().inline_limit_bytes),
    }
}

//! Tests of when a budget counts as exhausted.

use {
    super::{
        super::{Account, Holder, ReserveError, Settings, account::Shortfall, bound},
        harness::fetch,
        store,
    },
    crate::{
        id::Tokens,
        table::{Memory, Row, Transaction},
    },
    std::time::Duration,
};

fn holder() -> Holder {
    let settings = Settings {
        bound: Some(bound::Settings::default()),
        ..Settings::default()
    };
    let mut holder = Holder::new("h1.1".into(), settings);
    holder.observe_store_clock(1_000);
    holder
}

fn reserve(holder: &mut Holder, now: Duration, tokens: Tokens) -> Result<Tokens, ReserveError> {
    holder.reserve(now, &"r1".into(), &"hems".into(), tokens)
}

/// Commits the next row; `rows` are the budget rows as the holder read them.
fn flush(holder: &mut Holder, table: &mut Memory, now: Duration, rows: &[Row]) {
    if let Some(transaction) = holder.flush(now, rows) {
        let verdict = table.commit(&transaction);
        holder.apply_verdict(&verdict);
    }
}

fn stored(table: &Memory) -> Account {
    serde_json::from_str(&table.get("budget/hems").unwrap().value).unwrap()
}

fn store_account(table: &mut Memory, account: &Account) {
    let mut transaction = Transaction::default();
    transaction.put("budget/hems", serde_json::to_string(account).unwrap());
    table.commit(&transaction);
}

/// Guards against reporting a budget as exhausted whose row cannot be read, while rows without
/// budget changes are written.
#[test]
fn a_budget_that_cannot_be_read_is_not_exhausted() {
    let mut table = store(1_000);
    let mut holder = holder();
    for step in 0..40 {
        let now = Duration::from_millis(10_000 + step * 250);
        let reserved = reserve(&mut holder, now, 2_000);
        assert_eq!(reserved, Err(ReserveError::RefillPending), "{now:?}");
        flush(&mut holder, &mut table, now, &[]);
    }
    for now in [20, 21, 22].map(Duration::from_secs) {
        let reserved = reserve(&mut holder, now, 2_000);
        assert_eq!(reserved, Err(ReserveError::RefillPending), "{now:?}");
        let rows = fetch(&table, &holder.required_keys());
        flush(&mut holder, &mut table, now, &rows);
    }
    let reserved = reserve(&mut holder, Duration::from_secs(22), 2_000);
    assert_eq!(reserved, Err(ReserveError::Exhausted));
}

/// Guards against a refill that is forgotten because a row without budget changes is written before
/// the budget row is read.
#[test]
fn a_shortage_lasts_until_the_budget_row_is_read() {
    let mut table = store(1_000_000);
    let mut holder = holder();
    let now = Duration::from_secs(10);
    let _ = reserve(&mut holder, now, 2_000);
    flush(&mut holder, &mut table, now, &[]);
    let keys = holder.required_keys();
    assert!(keys.contains(&"budget/hems".into()), "{keys:?}");
    let rows = fetch(&table, &keys);
    flush(&mut holder, &mut table, now, &rows);
    assert_eq!(reserve(&mut holder, now, 2_000), Ok(2_000));
}

/// Guards against reporting a budget as exhausted at the first shortage, because the holder has
/// returned tokens before.
#[test]
fn a_holder_that_has_returned_tokens_gives_others_time() {
    let mut table = store(10_000);
    let mut holder = holder();
    let at = Duration::from_secs;
    let sync = |holder: &mut Holder, table: &mut Memory, now| {
        let rows = fetch(table, &holder.required_keys());
        flush(holder, table, now, &rows);
    };
    let _ = reserve(&mut holder, at(10), 2_000);
    sync(&mut holder, &mut table, at(10));
    let mut account: Account = stored(&table);
    account.wanted = Some(Shortfall {
        holder: "h2.1".into(),
        tokens: 10_000,
    });
    store_account(&mut table, &account);
    holder.review("hems");
    sync(&mut holder, &mut table, at(11));
    let mut account = stored(&table);
    assert_eq!(account.allocated, 0);
    assert_eq!(account.grant(10_000), 10_000);
    store_account(&mut table, &account);
    for (now, expected) in [
        (20, ReserveError::RefillPending),
        (21, ReserveError::RefillPending),
        (22, ReserveError::RefillPending),
        (23, ReserveError::Exhausted),
    ] {
        let reserved = reserve(&mut holder, at(now), 2_000);
        assert_eq!(reserved, Err(expected), "{now}");
        sync(&mut holder, &mut table, at(now));
    }
}

/// Guards against reads of a budget row, and returns of tokens to other holders, for a shortage of
/// requests that no longer wait.
#[test]
fn a_shortage_ends_with_its_requests() {
    let mut table = store(1_000_000);
    let mut holder = holder();
    let _ = reserve(&mut holder, Duration::from_secs(10), 2_000);
    flush(&mut holder, &mut table, Duration::from_secs(10), &[]);
    assert!(!holder.required_keys().is_empty());
    flush(&mut holder, &mut table, Duration::from_secs(13), &[]);
    assert_eq!(holder.required_keys(), Vec::<String>::new());
}

/// Guards against sums of stated tokens that overflow, after which a shortage passes for covered
/// and nobody learns that the budget is exhausted.
#[test]
fn the_largest_requests_do_not_hide_an_exhausted_budget() {
    let mut table = store(1_000);
    let mut holder = holder();
    let mut reserve = |holder: &mut Holder, now, request: &str, tokens| {
        let reserved = holder.reserve(now, &request.into(), &"hems".into(), tokens);
        let rows = fetch(&table, &holder.required_keys());
        flush(holder, &mut table, now, &rows);
        reserved
    };
    let at = |second| Duration::from_secs(second);
    let _ = reserve(&mut holder, at(10), "r1", 600);
    assert_eq!(reserve(&mut holder, at(10), "r1", 600), Ok(600));
    let _ = reserve(&mut holder, at(11), "r2", 300);
    for second in 11..14 {
        let reserved = reserve(&mut holder, at(second), "r3", Tokens::MAX);
        assert_eq!(reserved, Err(ReserveError::RefillPending), "{second}");
    }
    let reserved = reserve(&mut holder, at(14), "r3", Tokens::MAX);
    assert_eq!(reserved, Err(ReserveError::Exhausted));
}

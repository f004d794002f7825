//! Contract tests of the table service and the object store, run against the stand-in.
//!
//! Set `MARIGOLDROUTE_PLATFORM` to a base URL to run it against another implementation; the tests
//! that inject faults still use the stand-in.

#![allow(clippy::unwrap_used)]

use {
    marigoldroute_core::table::{Transaction, Verdict},
    marigoldroute_store::{Client, Fault, InjectedFaults, StandIn},
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(5);

async fn stand_in() -> (StandIn, Client) {
    let stand_in = StandIn::default();
    let local = "127.0.0.1:0".parse().unwrap();
    let (address, serve) = stand_in.bind(local).await.unwrap();
    tokio::spawn(serve);
    let client = Client::new(format!("http://{address}"), TIMEOUT).unwrap();
    (stand_in, client)
}

async fn service() -> Client {
    match std::env::var("MARIGOLDROUTE_PLATFORM") {
        Ok(base) => Client::new(base, TIMEOUT).unwrap(),
        Err(_) => stand_in().await.1,
    }
}

fn create(key: &str, value: &str) -> Transaction {
    let mut transaction = Transaction::default();
    transaction.require(key, 0);
    transaction.put(key, value);
    transaction
}

/// Guards against a create-if-absent that replaces a row.
#[tokio::test]
async fn create_if_absent_succeeds_once() {
    let client = service().await;
    let key = "contract/create";
    let first = client.commit(&create(key, "1")).await;
    assert_eq!(first, Ok(Verdict::Committed));
    let second = client.commit(&create(key, "2")).await.unwrap();
    let Verdict::Conflict(rows) = second else {
        panic!("the second create must conflict");
    };
    assert_eq!(&*rows[0].value, "1");
}

/// Guards against a transaction that takes effect in part.
#[tokio::test]
async fn transaction_is_atomic() {
    let client = service().await;
    client.commit(&create("contract/a", "1")).await.unwrap();
    let mut transaction = create("contract/a", "2");
    transaction.put("contract/b", "2");
    let verdict = client.commit(&transaction).await.unwrap();
    assert!(matches!(verdict, Verdict::Conflict(_)));
    assert_eq!(client.get("contract/b").await, Ok(None));
}

/// Guards against a row version that is used again after a deletion.
#[tokio::test]
async fn versions_only_grow() {
    let client = service().await;
    let key = "contract/version";
    client.commit(&create(key, "1")).await.unwrap();
    let before = client.get(key).await.unwrap().unwrap().version;
    let mut remove = Transaction::default();
    remove.delete(key);
    client.commit(&remove).await.unwrap();
    client.commit(&create(key, "1")).await.unwrap();
    let after = client.get(key).await.unwrap().unwrap().version;
    assert!(after > before);
}

/// Guards against a scan that skips or repeats rows between pages.
#[tokio::test]
async fn scan_pages_in_key_order() {
    let client = service().await;
    for number in 0..5 {
        let key = format!("contract/scan/{number}");
        client.commit(&create(&key, "1")).await.unwrap();
    }
    let first = client.scan("contract/scan/", "", 3).await.unwrap();
    let last = client
        .scan("contract/scan/", &first[2].key, 3)
        .await
        .unwrap();
    let keys: Vec<_> = first.iter().chain(&last).map(|row| &*row.key).collect();
    let expected: Vec<_> = (0..5).map(|n| format!("contract/scan/{n}")).collect();
    assert_eq!(keys, expected);
}

/// Guards against an object that is truncated or listed under another prefix.
#[tokio::test]
async fn objects_round_trip() {
    let client = service().await;
    let body = vec![7; 100_000];
    client
        .put_object("contract/o/1", body.clone())
        .await
        .unwrap();
    assert_eq!(client.get_object("contract/o/1").await, Ok(Some(body)));
    assert_eq!(client.get_object("contract/o/2").await, Ok(None));
    let keys = client.list_objects("contract/o/").await.unwrap();
    assert_eq!(keys, ["contract/o/1"]);
    client.delete_object("contract/o/1").await.unwrap();
    client.delete_object("contract/o/1").await.unwrap();
    assert_eq!(client.get_object("contract/o/1").await, Ok(None));
}

/// Guards against pages of keys that omit or repeat a key or are not sorted.
#[tokio::test]
async fn objects_are_listed_in_pages() {
    let client = service().await;
    for number in [3, 1, 2] {
        let key = format!("contract/page/{number}");
        client.put_object(&key, Vec::new()).await.unwrap();
    }
    let list = async |after: &str, limit| {
        let keys = client.list_objects_after("contract/page/", after, limit);
        keys.await.unwrap()
    };
    assert_eq!(list("", 2).await, ["contract/page/1", "contract/page/2"]);
    assert_eq!(list("contract/page/2", 2).await, ["contract/page/3"]);
    assert_eq!(list("contract/page/0", 1).await, ["contract/page/1"]);
    assert!(list("contract/page/3", 2).await.is_empty());
}

/// Guards against a stand-in that skips the write when it loses the answer, which would hide faults
/// in callers.
#[tokio::test]
async fn lost_answer_follows_an_effective_write() {
    let (stand_in, client) = stand_in().await;
    stand_in.inject(InjectedFaults {
        lose_answers: 1,
        ..InjectedFaults::default()
    });
    let lost = client.commit(&create("k", "1")).await;
    assert_eq!(lost, Err(Fault::Unanswered));
    assert_eq!(&*client.get("k").await.unwrap().unwrap().value, "1");
}

/// Guards against writes of other rows that use up the answers to be lost of one row.
#[tokio::test]
async fn answers_of_one_row_are_lost() {
    let (stand_in, client) = stand_in().await;
    stand_in.lose_answers_of("k", 1);
    client.commit(&create("other", "1")).await.unwrap();
    assert_eq!(stand_in.answers_to_lose(), 1);
    let lost = client.commit(&create("k", "1")).await;
    assert_eq!(lost, Err(Fault::Unanswered));
    assert_eq!(stand_in.answers_to_lose(), 0);
    assert_eq!(&*client.get("k").await.unwrap().unwrap().value, "1");
}

/// Guards against a write that takes effect during an injected outage.
#[tokio::test]
async fn outage_changes_nothing() {
    let (stand_in, client) = stand_in().await;
    stand_in.inject(InjectedFaults {
        down: true,
        ..InjectedFaults::default()
    });
    let refused = client.commit(&create("k", "1")).await;
    assert_eq!(refused, Err(Fault::Unavailable));
    stand_in.inject(InjectedFaults::default());
    assert_eq!(client.get("k").await, Ok(None));
}

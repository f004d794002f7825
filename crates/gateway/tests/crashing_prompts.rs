//! Parts of prompts that crash every upstream which begins to answer them.

mod harness;

use {
    harness::{
        Harness, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_gateway::Settings,
    poem::http::StatusCode,
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Part of a prompt that crashes upstreams.
const DEADLY: u64 = 13;
/// First part of every prompt.
const COMMON: u64 = 1;
/// Requests with the deadly part that may reach upstreams: the three whose crashes quarantine it,
/// and two more before the fifth crash.
const ARRIVAL_LIMIT: usize = 5;
/// Time between two renewals of the hosts' rows.
const RENEWAL: Duration = Duration::from_millis(200);
/// Time within which ends of upstreams count once.
const INSTANT: Duration = Duration::from_millis(110);
/// Start of a response in chunks.
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
/// Answers without a length between the ends that quarantine a part; an upstream that ends twice
/// under the same entry counts once.
const WHOLE_ANSWERS: usize = 12;
/// Longest wait for what a test expects.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time for which a crashed upstream is down.
const DOWN: Duration = Duration::from_millis(300);

/// Starts a fleet of hosts with upstreams that the deadly part crashes, and waits until the hosts
/// know each other.
async fn start_fleet(hosts: usize) -> (Vec<Harness>, Vec<Upstream>) {
    let script = Script::Crash {
        part: DEADLY,
        start: CHUNKED,
        down: DOWN,
    };
    start_fleet_with(hosts, script).await
}

/// As [`start_fleet`], with this script of the upstreams.
async fn start_fleet_with(hosts: usize, script: Script) -> (Vec<Harness>, Vec<Upstream>) {
    let (mut harness, upstreams) = Harness::unlimited(vec![script; 8]).await;
    harness.gateway.take().expect("it runs").stop().await;
    let mut fleet = Vec::new();
    for index in 0..hosts {
        fleet.push(start_host(&harness, index).await);
    }
    until_rows_are_read(&harness, hosts).await;
    (fleet, upstreams)
}

async fn start_host(harness: &Harness, index: usize) -> Harness {
    let settings = Settings {
        renew_interval: RENEWAL,
        ..Settings::default()
    };
    harness.start_host(&format!("h{index}"), settings).await
}

/// Returns the versions of the hosts' rows.
fn versions(harness: &Harness) -> Vec<u64> {
    let rows = harness.store.rows("host/");
    rows.iter().map(|row| row.version).collect()
}

/// Waits until these hosts have read the rows as they are now: each reads them after it has renewed
/// its own at its time, and may renew it once or twice between.
async fn until_rows_are_read(harness: &Harness, hosts: usize) {
    until(|| versions(harness).len() == hosts).await;
    for _ in 0..4 {
        let before = versions(harness);
        until(|| {
            let renewed = versions(harness);
            let mut pairs = renewed.iter().zip(&before);
            renewed.len() == hosts && pairs.all(|(renewed, before)| renewed > before)
        })
        .await;
    }
}

/// Waits for a condition.
async fn until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, wait).await;
    waited.expect("it happens in time");
}

/// Sends a request with these parts; returns its status and body, which is empty if it broke off.
async fn send(host: &Harness, path: &str, id: &str, parts: &str) -> (StatusCode, String) {
    let request = host.plain_request(path, id).header("x-parts", parts);
    let response = request.send().await.expect("an answer");
    let status = response.status();
    (status, response.text().await.unwrap_or_default())
}

/// Returns the arrivals of requests with the deadly part.
fn deadly(upstreams: &[Upstream]) -> usize {
    let arrivals = upstreams.iter().flat_map(Upstream::arrivals);
    arrivals
        .filter(|arrival| arrival.parts.contains(&DEADLY))
        .count()
}

/// Sends requests with the deadly part to a host until it refuses them.
async fn crash_until_refused(host: &Harness, path: &str) {
    for id in 0..ARRIVAL_LIMIT {
        let parts = format!("{COMMON},{DEADLY},{id}");
        if send(host, path, &format!("deadly{id}"), &parts).await.0 == 503 {
            return;
        }
    }
    panic!("{ARRIVAL_LIMIT} requests were not refused");
}

/// Guards against hosts that go on sending, as first tries or retries, what crashes upstreams, and
/// against a quarantine that refuses healthy requests.
#[tokio::test]
async fn a_deadly_part_stops_at_every_host_and_healthy_requests_go_on() {
    let (fleet, upstreams) = start_fleet(2).await;
    for round in 0..8 {
        for (index, host) in fleet.iter().enumerate() {
            let id = format!("healthy{round}-{index}");
            let parts = format!("{COMMON},{},9{round}{index}", 20 + index);
            let (status, body) = send(host, "resumable", &id, &parts).await;
            assert_eq!(
                (status.as_u16(), body.contains("piece 4")),
                (200, true),
                "{id}: {body}"
            );
            let arrivals = upstreams.iter().flat_map(Upstream::arrivals);
            assert_eq!(
                arrivals.filter(|arrival| arrival.id == id).count(),
                1,
                "{id}"
            );
            let parts = format!("{COMMON},{DEADLY},8{round}{index}");
            send(host, "resumable", &format!("deadly{round}-{index}"), &parts).await;
        }
    }
    let arrivals = deadly(&upstreams);
    assert!(
        arrivals <= ARRIVAL_LIMIT,
        "{arrivals} deadly requests were sent"
    );
    assert!(arrivals >= 3, "quarantined after {arrivals} requests");
    let parts = format!("{COMMON},{DEADLY},70");
    let request = fleet[1]
        .plain_request("once", "last")
        .header("x-parts", parts);
    let response = request.send().await.expect("an answer");
    assert_eq!(response.status(), 503);
    let after = harness::retry_after(&response);
    assert!(after > 300.0, "to return after {after} s");
}

/// Guards against crashes that do not count because the response of the upstream ends with its
/// connection, which looks like the end of a stream.
#[tokio::test]
async fn crashes_count_in_responses_that_end_with_their_connection() {
    for start in ["\r\n", "\r\n: here\n", "\r\nid: 1\nda"] {
        let script = Script::Crash {
            part: DEADLY,
            start,
            down: DOWN,
        };
        let (fleet, upstreams) = start_fleet_with(1, script).await;
        crash_until_refused(&fleet[0], "stream").await;
        let parts = format!("{COMMON},21,6");
        let (status, _) = send(&fleet[0], "stream", "healthy", &parts).await;
        assert_eq!((status.as_u16(), deadly(&upstreams) >= 3), (200, true));
    }
}

/// Guards against a crash that passes for the end of a stream with neither a length nor chunks, and
/// so accuses no part and looks complete to its caller.
#[tokio::test]
async fn crashes_that_end_unframed_streams_are_evidence() {
    for text in ["", "id: 1\nda"] {
        let script = Script::CrashUnframed {
            part: DEADLY,
            down: DOWN,
            text,
        };
        let (fleet, upstreams) = start_fleet_with(1, script).await;
        for round in 0..8 {
            let parts = format!("{COMMON},21,9{round}");
            let (status, body) = send(&fleet[0], "stream", &format!("s{round}"), &parts).await;
            assert_eq!((status.as_u16(), body.contains("piece 4")), (200, true));
            let parts = format!("{COMMON},{DEADLY},8{round}");
            let (status, _) = send(&fleet[0], "stream", &format!("d{round}"), &parts).await;
            assert_ne!(status, 200, "{text:?}: request {round} looks answered");
            // Ends at the same instant would count once.
            tokio::time::sleep(INSTANT).await;
        }
        let arrivals = deadly(&upstreams);
        assert!(arrivals <= ARRIVAL_LIMIT, "{text:?}: {arrivals} were sent");
    }
}

/// Guards against an answer without a length that passes for whole when a crash has ended it, and
/// clears the part that was accused.
#[tokio::test]
async fn crashes_that_end_unframed_answers_clear_no_part() {
    let script = Script::CrashUnframed {
        part: DEADLY,
        down: DOWN,
        text: "",
    };
    let (fleet, upstreams) = start_fleet_with(1, script).await;
    let is_refused = async || {
        for round in 0..WHOLE_ANSWERS {
            for path in ["safe", "stream"] {
                let parts = format!("{COMMON},{DEADLY},8{round}");
                if send(&fleet[0], path, &format!("{path}{round}"), &parts)
                    .await
                    .0
                    == 503
                {
                    return true;
                }
                // Ends at the same instant would count once.
                tokio::time::sleep(INSTANT).await;
            }
        }
        false
    };
    assert!(is_refused().await, "{} were sent", deadly(&upstreams));
}

/// Guards against a host that starts later and sends what the others have quarantined.
#[tokio::test]
async fn a_new_host_learns_quarantined_parts_from_the_rows() {
    let (fleet, upstreams) = start_fleet(1).await;
    crash_until_refused(&fleet[0], "resumable").await;
    let part = format!("{DEADLY:016x}");
    let is_in_row = |prefix: &str| {
        let rows = fleet[0].store.rows(prefix);
        rows.iter().any(|row| row.value.contains(&part))
    };
    until(|| is_in_row("host/h0.")).await;
    let sent = deadly(&upstreams);
    let late = start_host(&fleet[0], 1).await;
    until(|| is_in_row("host/h1.")).await;
    let parts = format!("{COMMON},{DEADLY},5");
    assert_eq!(send(&late, "safe", "late", &parts).await.0, 503);
    assert_eq!(deadly(&upstreams), sent, "it was sent");
    // The first part was in all prompts that crashed, and in none that was answered.
    let parts = format!("{COMMON},21,6");
    assert_eq!(send(&late, "safe", "healthy", &parts).await.0, 200);
}

/// Guards against hosts whose messages do not reach each other and that each need as many crashes
/// as the fleet.
#[tokio::test]
async fn hosts_apart_count_crashes_together() {
    let script = Script::Crash {
        part: DEADLY,
        start: CHUNKED,
        // No upstream ends twice.
        down: PATIENCE * 9,
    };
    let (mut harness, upstreams) = Harness::unlimited(vec![script; 8]).await;
    harness.gateway.take().expect("it runs").stop().await;
    let settings = Settings {
        renew_interval: RENEWAL,
        ..Settings::default()
    };
    let mut fleet = Vec::new();
    for instance in ["h0", "h1", "h2"] {
        fleet.push(harness.start_host_apart(instance, settings.clone()).await);
    }
    for (index, host) in fleet.iter().chain(&fleet).enumerate() {
        let parts = format!("{COMMON},{DEADLY},{index}");
        let (status, _) = send(host, "once", &format!("deadly{index}"), &parts).await;
        assert_eq!(status == 503, index >= 3, "request {index}");
        until_rows_are_read(&harness, fleet.len()).await;
    }
    assert_eq!(deadly(&upstreams), 3);
}

/// Returns the row of a process that has quarantined the deadly part.
fn row() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    let until_ms = now.as_millis() + 600_000;
    format!(
        r#"{{"place":"gone","zone":"z","weight":1,"peers":null,
        "quarantined":[{{"part":"{DEADLY:x}","until_ms":{until_ms}}},{{"part":"?","until_ms":1}}]}}"#
    )
}

/// Guards against requests that wait, for a place or for an answer, while a part of their prompt is
/// quarantined, and against the loss of what a process that has ended knew.
#[tokio::test]
async fn requests_under_way_end_when_a_part_is_quarantined() {
    let mut snapshot = snapshot(1, 0);
    snapshot.workspaces[0].purchased = None;
    snapshot.services[0].connection_limit = 1;
    let settings = Settings {
        renew_interval: RENEWAL,
        ..Settings::default()
    };
    let (harness, upstreams) =
        Harness::with_settings(settings, snapshot, vec![Script::Silent]).await;
    let sent_at = Instant::now();
    let send = |id: &str| {
        let parts = format!("{COMMON},{DEADLY},5");
        let request = harness.plain_request("safe", id).header("x-parts", parts);
        tokio::spawn(request.send())
    };
    let running = send("running");
    until(|| deadly(&upstreams) == 1).await;
    let waiting = send("waiting");
    harness.store.put_row("host/gone.1", &row());
    let running = running.await.expect("it ends").expect("an answer");
    assert_eq!(running.status(), 502);
    let waiting = waiting.await.expect("it ends").expect("an answer");
    assert_eq!(waiting.status(), 503);
    assert!(
        sent_at.elapsed() < Duration::from_secs(4),
        "ended at the route's timeout"
    );
    assert_eq!(deadly(&upstreams), 1, "the waiting request was sent");
}

/// Guards against evidence that is none: a connection that broke while its upstream went on.
#[tokio::test]
async fn broken_connections_of_living_upstreams_quarantine_nothing() {
    let head = "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n\
        transfer-encoding: chunked\r\n\r\n";
    let (harness, _upstreams) = Harness::unlimited(vec![Script::Raw(vec![head]); 6]).await;
    for id in 0..5 {
        // Ends at the same instant would count once.
        tokio::time::sleep(INSTANT).await;
        let parts = format!("{COMMON},{DEADLY},{id}");
        let (status, _) = send(&harness, "resumable", &format!("r{id}"), &parts).await;
        assert_eq!(status, 502, "request {id} was refused");
    }
}

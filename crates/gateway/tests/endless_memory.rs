//! Peak memory of the process, and what other callers get, while upstreams send bytes without end.
//! Each case is a process of its own, because the peak covers all that a process has done.

mod harness;

use {
    harness::{
        Harness, KEY, entry, peak_mib, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::{AllowanceSettings, Kind, Registration, Route, State, Target},
    marigoldroute_gateway::Settings,
    std::{
        process::Command,
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        time::timeout,
    },
};

/// Memory that the process may take in addition on a host of 96 MB.
const LIMIT_MIB: usize = 64;
/// Processes at the same time, each with another case.
const PROCESSES: usize = 4;
/// Requests at the same time.
const COUNTS: [usize; 2] = [64, 256];
/// Deadline of the requests whose responses never end.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// How long other requests are sent meanwhile.
const WINDOW: Duration = Duration::from_secs(2);
/// Longest time for another request.
const PATIENCE: Duration = Duration::from_secs(20);
/// Set in the process of a case to its number, and to that of its requests.
const CASE_VARIABLE: &str = "ENDLESS_MEMORY_CASE";
/// Size of the pieces that an upstream writes.
const PIECE_BYTES: usize = 64 << 10;

const HEAD: &str = "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// What upstreams send.
struct Case {
    name: &'static str,
    route: &'static str,
    /// Sent once.
    text: String,
    /// Sent without end.
    piece: String,
    /// Whether callers read.
    is_read: bool,
}

fn case(
    name: &'static str,
    route: &'static str,
    text: impl Into<String>,
    piece: impl Into<String>,
) -> Case {
    Case {
        name,
        route,
        text: text.into(),
        piece: piece.into(),
        is_read: true,
    }
}

/// Returns the text as a chunk.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the text in chunks of single bytes.
fn tiny(text: &str) -> String {
    text.chars().map(|c| chunk(&c.to_string())).collect()
}

fn cases() -> Vec<Case> {
    let chunked = format!("{HEAD}{CHUNKED}");
    let refusal = "HTTP/1.1 503 X\r\nx-request-id: {id}\r\nx-not-run: 1\r\n";
    let whole = format!("{HEAD}x-keep-alive: 30\r\ncontent-length: 5\r\n\r\nfresh");
    let filled = "x".repeat(PIECE_BYTES);
    let event = chunk("id: 1\ndata: piece 1\n\n");
    let large = chunk(&format!("data: {}\n\n", "x".repeat(1_000_000)));
    let length = format!("{HEAD}content-length: 8000000\r\n\r\n");
    let mut cases = vec![
        case("interim answers", "once", "", "HTTP/1.1 100 X\r\n\r\n"),
        case("status line", "safe", "HTTP/1.1 200 ", &*filled),
        case("header line", "safe", format!("{HEAD}x-filler: "), &*filled),
        case("short headers", "safe", HEAD, "a: b\r\n"),
        case("whole headers", "safe", HEAD.repeat(20), "a: b\r\n"),
        case("body", "safe", &*chunked, chunk(&filled)),
        case("tiny body", "safe", &*chunked, tiny("x")),
        case("unframed body", "once", format!("{HEAD}\r\n"), &*filled),
        case("unframed tiny body", "once", format!("{HEAD}\r\n"), "x"),
        case("first event", "stream", &*chunked, chunk(&filled)),
        case(
            "tiny first event",
            "resumable",
            &*chunked,
            tiny("data: a\n"),
        ),
        case(
            "next event",
            "stream",
            chunked.clone() + &event,
            chunk(&filled),
        ),
        case(
            "tiny next event",
            "resumable",
            chunked.clone() + &event,
            tiny("data: a\n"),
        ),
        case("empty events", "stream", &*chunked, chunk("\n\n")),
        case(
            "filled empty events",
            "stream",
            &*chunked,
            chunk(&"\n".repeat(PIECE_BYTES)),
        ),
        case("tiny empty events", "stream", &*chunked, tiny("\n\n")),
        case(
            "comments",
            "resumable",
            &*chunked,
            chunk(&":\n\n".repeat(10_000)),
        ),
        case(
            "small events",
            "stream",
            &*chunked,
            chunk(&"data:\n\n".repeat(10_000)),
        ),
        case(
            "lines",
            "stream",
            &*chunked,
            chunk(&"data:\n".repeat(10_000)),
        ),
        case("large events", "stream", &*chunked, &*large),
        case("chunk extension", "safe", format!("{chunked}1;"), &*filled),
        case(
            "trailers",
            "safe",
            format!("{chunked}1\r\nx\r\n0\r\n"),
            "a: b\r\n",
        ),
        case(
            "trailer",
            "stream",
            format!("{chunked}{event}0\r\na: "),
            &*filled,
        ),
        case(
            "refusal",
            "once",
            format!("{refusal}{CHUNKED}"),
            chunk(&filled),
        ),
        case(
            "tiny refusal",
            "once",
            format!("{refusal}{CHUNKED}"),
            tiny("x"),
        ),
        case(
            "refusal without chunks",
            "safe",
            format!("{refusal}\r\n"),
            &*filled,
        ),
        case("bytes after a whole answer", "safe", &*whole, &*filled),
        case("answers after a whole answer", "safe", &*whole, &*whole),
        case("whole answers of stated length", "once", &*length, &*filled),
    ];
    let silent = [
        case("body to silent callers", "safe", &*length, &*filled),
        case(
            "chunks to silent callers",
            "stream",
            &*chunked,
            chunk(&"data:\n\n".repeat(8_000)),
        ),
        case(
            "large events to silent callers",
            "stream",
            &*chunked,
            &*large,
        ),
        case(
            "tiny events to silent callers",
            "stream",
            &*chunked,
            tiny("data:\n\n"),
        ),
    ];
    cases.extend(silent.map(|case| Case {
        is_read: false,
        ..case
    }));
    cases
}

/// Sends a request on a connection whose caller reads all, or nothing.
async fn call(harness: &Harness, route: &str, id: &str, is_read: bool) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    if !is_read {
        socket.set_recv_buffer_size(4_096).expect("a small buffer");
    }
    let mut stream = socket.connect(harness.callers).await.expect("connects");
    let head = format!(
        "POST /{route}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {KEY}\r\n\
         x-tokens: 100,50\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("it is open");
    stream
}

/// Reads all that a caller gets.
async fn read(mut stream: TcpStream) {
    let mut piece = [0; 4_096];
    while stream.read(&mut piece).await.is_ok_and(|bytes| bytes > 0) {}
}

/// Starts a gateway whose upstreams send what the case says, and a healthy one with another route.
async fn start(case: &Case) -> (Harness, Vec<Upstream>) {
    let mut snapshot = snapshot(1, 0);
    snapshot.workspaces[0].purchased = None;
    for route in &mut snapshot.routes {
        route.timeout = DEADLINE;
    }
    let service = &mut snapshot.services[0];
    (service.engine, service.connection_limit) = (None, 1_024);
    let mut healthy = service.clone();
    healthy.name = "healthy".into();
    snapshot.services.push(healthy);
    snapshot.routes.push(Route {
        name: "healthy".into(),
        prefix: "/healthy/".into(),
        kind: Kind::Once,
        targets: vec![Target {
            service: "healthy".into(),
            weight: 1,
        }],
        timeout: PATIENCE,
        ..snapshot.routes[0].clone()
    });
    let settings = Settings {
        answer_memory: 96_000_000 / 4,
        retries: AllowanceSettings {
            share: 10.0,
            slack: 1e9,
            ..AllowanceSettings::default()
        },
        ..Settings::default()
    };
    // Few writes of much, whatever the piece.
    let piece = case.piece.repeat((PIECE_BYTES / case.piece.len()).max(1));
    let endless = Script::Endless {
        text: case.text.clone().leak(),
        piece: piece.leak(),
        pause: Duration::ZERO,
    };
    let scripts = vec![endless; 4];
    let (harness, mut upstreams) = Harness::with_settings(settings, snapshot, scripts).await;
    let healthy = Upstream::start("healthy", Script::Complete(200, "the answer")).await;
    let ready = Registration {
        service: "healthy".into(),
        ..entry(healthy.address, State::Ready)
    };
    harness.store.put(&healthy.id, ready);
    upstreams.push(healthy);
    while harness
        .request("healthy", "p")
        .send()
        .await
        .expect("an answer")
        .status()
        != 200
    {
        tokio::task::yield_now().await;
    }
    (harness, upstreams)
}

/// Plays a case with this number of requests; returns what is wrong.
async fn play(case: &Case, count: usize) -> Option<String> {
    let (harness, upstreams) = start(case).await;
    let before = peak_mib();
    let (mut calls, mut silent) = (Vec::new(), Vec::new());
    for number in 0..count {
        let stream = call(&harness, case.route, &format!("r{number}"), case.is_read).await;
        match case.is_read {
            true => calls.push(tokio::spawn(read(stream))),
            false => silent.push(stream),
        }
    }
    let (started, mut others, mut failed, mut slowest) = (Instant::now(), 0, 0, Duration::ZERO);
    while started.elapsed() < WINDOW {
        let sent = Instant::now();
        let request = harness.request("healthy", &format!("p{others}")).send();
        let response = timeout(PATIENCE, request).await;
        let is_served = response.is_ok_and(|response| response.is_ok_and(|r| r.status() == 200));
        failed += usize::from(!is_served);
        others += 1;
        slowest = slowest.max(sent.elapsed());
    }
    let used = peak_mib() - before;
    let faulty = &upstreams[..upstreams.len() - 1];
    let arrivals: usize = faulty
        .iter()
        .map(|upstream| upstream.arrivals().len())
        .sum();
    println!(
        "{}, {count} requests: {used} MiB, {arrivals} arrived, {failed} of {others} others failed, \
         slowest {slowest:?}",
        case.name
    );
    if used >= LIMIT_MIB {
        return Some(format!("{used} MiB"));
    }
    (failed > 0).then(|| format!("{failed} of {others} others failed"))
}

/// Plays a case in a process of its own.
///
/// # Errors
/// What it has told, if it failed.
fn play_apart(number: usize, count: usize, name: &str) -> Result<(), String> {
    let program = std::env::current_exe().expect("the path of this program");
    let played = Command::new(program)
        .args([
            "endless_bytes_leave_memory_and_time_for_others",
            "--exact",
            "--nocapture",
        ])
        .env(CASE_VARIABLE, format!("{number} {count}"))
        .output()
        .expect("the process of a case");
    let text = String::from_utf8_lossy(&played.stdout);
    let told = text.lines().find(|line| line.starts_with(name));
    println!("{}", told.unwrap_or("no result"));
    match played.status.success() {
        true => Ok(()),
        false => Err(told.unwrap_or(name).to_owned()),
    }
}

/// Guards against a process that runs out of memory, or does not serve others, while upstreams send
/// bytes without end at any point of their responses.
#[test]
fn endless_bytes_leave_memory_and_time_for_others() {
    let cases = cases();
    if let Ok(case) = std::env::var(CASE_VARIABLE) {
        let (number, count) = case.split_once(' ').expect("two numbers");
        let number: usize = number.parse().expect("a number");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        let count = count.parse().expect("a number");
        let wrong = runtime
            .expect("a runtime")
            .block_on(play(&cases[number], count));
        assert_eq!(wrong, None, "{}", cases[number].name);
        return;
    }
    let plays: Vec<_> = (0..cases.len())
        .flat_map(|number| COUNTS.map(|count| (number, count)))
        .collect();
    let next = AtomicUsize::new(0);
    let wrong = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PROCESSES {
            scope.spawn(|| {
                while let Some((number, count)) = plays.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if let Err(told) = play_apart(*number, *count, cases[*number].name) {
                        wrong.lock().expect("no other panic").push(told);
                    }
                }
            });
        }
    });
    let wrong = wrong.into_inner().expect("no panic");
    assert!(wrong.is_empty(), "{wrong:#?}");
}

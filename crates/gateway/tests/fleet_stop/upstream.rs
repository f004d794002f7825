//! An upstream whose streams are as long as their requests ask for.

use {
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Time until an answer or the first event of a stream.
const WAIT: Duration = Duration::from_millis(40);
/// Time between two events.
const INTERVAL: Duration = Duration::from_millis(30);
/// Output tokens of an event.
const EVENT_TOKENS: u64 = 10;

pub struct Upstream {
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
}

impl Upstream {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let all = runs.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).expect("it is open");
                tokio::spawn(serve(stream, all.clone()));
            }
        });
        Self { address, runs }
    }

    /// Returns the id of each request that has run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("no test panics here").clone()
    }
}

/// Serves a connection until the gateway closes it.
async fn serve(stream: TcpStream, runs: Arc<Mutex<Vec<String>>>) -> Option<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let (mut id, mut events, mut length) = (String::new(), 0, 0);
        let mut line = String::new();
        stream.read_line(&mut line).await.ok()?;
        let is_stream = line.starts_with("POST /stream/") || line.starts_with("POST /resumable/");
        loop {
            line.clear();
            if stream.read_line(&mut line).await.ok()? == 0 {
                return None;
            }
            let Some((name, value)) = line.trim_end().split_once(": ") else {
                break;
            };
            match name {
                "x-request-id" => id = value.to_owned(),
                "content-length" => length = value.parse().ok()?,
                "x-tokens" => {
                    let tokens: u64 = value.split_once(',')?.1.parse().ok()?;
                    events = tokens / EVENT_TOKENS;
                }
                _ => {}
            }
        }
        stream.read_exact(&mut vec![0; length]).await.ok()?;
        runs.lock().expect("no test panics here").push(id.clone());
        sleep(WAIT).await;
        let head = format!("HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n");
        if !is_stream {
            let text = head + "content-length: 5\r\n\r\nwhole";
            stream.write_all(text.as_bytes()).await.ok()?;
            continue;
        }
        let head = head + "transfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.ok()?;
        for event in 1..=events {
            let event = format!("id: {event}\ndata: text\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await.ok()?;
            sleep(INTERVAL).await;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
}

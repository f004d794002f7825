//! Routers as processes of their own.

use {
    super::{Outside, ready},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde_json::Value as Json,
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        process::{Child, ChildStderr, Command, ExitStatus, Stdio},
        thread::JoinHandle,
    },
};

/// A router process; it is killed when it is dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    /// Collects the log lines.
    lines: Option<JoinHandle<Vec<String>>>,
}

impl Process {
    /// Starts a router and waits until it is ready.
    pub async fn start(outside: &Outside, number: usize) -> Self {
        Self::start_with(outside, number, &[]).await
    }

    /// Starts a router with further arguments and waits until it is ready.
    pub async fn start_with(outside: &Outside, number: usize, arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_marigoldroute"))
            .args(["--host", &format!("router-{number}")])
            .args(["--listen", "127.0.0.1:0", "--listen-peers", "127.0.0.1:0"])
            .args(["--platform", &outside.base])
            .args(["--fleet-key", "a-fleet-key-for-the-tests"])
            .args(["--flush-interval-ms", "200", "--ledger-interval-ms", "200"])
            .args([
                "--renew-interval-ms",
                "400",
                "--reservation-limit-ms",
                "1500",
            ])
            .args(["--upstream-timeout-ms", "3000", "--drain-limit-ms", "20000"])
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut reader = BufReader::new(child.stderr.take().unwrap());
        let address = started(&mut reader);
        let lines = std::thread::spawn(move || reader.lines().map_while(Result::ok).collect());
        let process = Self {
            child,
            address,
            lines: Some(lines),
        };
        ready(process.address).await;
        process
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().try_into().unwrap());
        kill(pid, signal).unwrap();
    }

    /// Waits for the end; returns the exit status and the log lines.
    pub fn wait(mut self) -> (ExitStatus, Vec<String>) {
        let status = self.child.wait().unwrap();
        let lines = self.lines.take().unwrap().join().unwrap();
        (status, lines)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A stopped process takes the signal too; one that has ended needs none.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the log up to the line that names the bound address.
fn started(reader: &mut BufReader<ChildStderr>) -> SocketAddr {
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line).unwrap();
        assert!(read > 0, "the router ended before it started");
        let Ok(json) = serde_json::from_str::<Json>(&line) else {
            continue;
        };
        if json["message"] == "started" {
            return json["address"].as_str().unwrap().parse().unwrap();
        }
    }
}

//! Test support: routers that run as separate processes.

use {
    super::{Environment, links::Links, ready},
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

/// Key of the internal protocol.
pub const FLEET_KEY: &str = "a-fleet-key-for-the-tests";

/// A router process, killed when it is dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    /// Collects the log lines.
    lines: Option<JoinHandle<Vec<String>>>,
}

impl Process {
    /// Starts a router and waits until it is ready.
    pub async fn start(environment: &Environment, number: usize) -> Self {
        Self::start_in(environment, number, "zone-1").await
    }

    /// Starts a router in an availability zone and waits until it is ready.
    pub async fn start_in(environment: &Environment, number: usize, zone: &str) -> Self {
        Self::start_with(environment, number, &["--zone", zone]).await
    }

    /// Starts a router with further arguments and waits until it is ready.
    pub async fn start_with(environment: &Environment, number: usize, args: &[&str]) -> Self {
        let (process, _) = Self::spawn(&environment.base, number, args);
        ready(process.address).await;
        process
    }

    /// Like [`Self::start`], for a router whose connections to the platform and from other routers
    /// go through links.
    pub async fn start_linked(environment: &Environment, number: usize, links: &Links) -> Self {
        let name = format!("router-{number}");
        let platform = links.platform(environment, &name).await;
        let advertised = links.peers(&name).await.to_string();
        let args = ["--advertise-peers", &advertised];
        let (process, peers) = Self::spawn(&format!("http://{platform}"), number, &args);
        links.connect(&name, peers);
        ready(process.address).await;
        process
    }

    /// Starts a router; returns it with its address for other hosts.
    fn spawn(platform: &str, number: usize, args: &[&str]) -> (Self, SocketAddr) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_marigoldroute"))
            .args(["--host", &format!("router-{number}")])
            .args(["--listen", "127.0.0.1:0", "--listen-peers", "127.0.0.1:0"])
            .args(["--platform", platform])
            .args(["--fleet-key", FLEET_KEY])
            .args(["--flush-interval-ms", "200", "--ledger-interval-ms", "200"])
            .args([
                "--renew-interval-ms",
                "400",
                "--reservation-limit-ms",
                "1500",
            ])
            .args(["--upstream-timeout-ms", "3000", "--drain-limit-ms", "20000"])
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut reader = BufReader::new(child.stderr.take().unwrap());
        let (address, peers) = started(&mut reader);
        let lines = std::thread::spawn(move || reader.lines().map_while(Result::ok).collect());
        let process = Self {
            child,
            address,
            lines: Some(lines),
        };
        (process, peers)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().try_into().unwrap());
        kill(pid, signal).unwrap();
    }

    /// Waits until the process exits; returns its status and log lines.
    pub fn wait(mut self) -> (ExitStatus, Vec<String>) {
        let status = self.child.wait().unwrap();
        let lines = self.lines.take().unwrap().join().unwrap();
        (status, lines)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The signal also ends a stopped process; an error means that it has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the log up to the line that names the bound addresses, for callers and for other hosts.
fn started(reader: &mut BufReader<ChildStderr>) -> (SocketAddr, SocketAddr) {
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line).unwrap();
        assert!(read > 0, "the router ended before it started");
        let Ok(json) = serde_json::from_str::<Json>(&line) else {
            continue;
        };
        if json["message"] == "started" {
            let address = |name: &str| json[name].as_str().unwrap().parse().unwrap();
            return (address("address"), address("peers"));
        }
    }
}

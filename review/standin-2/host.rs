//! The project's program on one host, run as the deploy file says.

use crate::record::Record;
use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::Duration,
};

/// Processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for process in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &process.to_string()])
            .status();
    }
}

/// Memory of a host in MB, as on the sheet of pchod-route.
pub const MEMORY_MB: u64 = 110;

pub struct Host {
    pub name: String,
    pub frontend: SocketAddr,
    pub starts: u32,
    ready: SocketAddr,
    directory: String,
    settings: String,
    child: Option<Child>,
    record: Record,
}

impl Host {
    /// Writes the settings of host `number`, which has a loopback address of its own.
    pub fn new(record: &Record, number: u8, store: SocketAddr, directory: &str) -> Self {
        let process = std::process::id();
        let ip = Ipv4Addr::new(127, (process >> 8) as u8 | 1, process as u8, number);
        let port = || {
            TcpListener::bind((ip, 0))
                .and_then(|listener| listener.local_addr())
                .expect("a port")
                .port()
        };
        let (frontend, ready, control, first) = (port(), port(), port(), port());
        let last = UdpSocket::bind((ip, 0))
            .and_then(|socket| socket.local_addr())
            .expect("a port")
            .port();
        let name = format!("edge-kolkata-{number}");
        let settings = format!("{directory}/{name}.toml");
        let text = format!(
            r#"node_name = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "kolkata"
region = "bengal"
port_range = [{first},{last}]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
kolkata = "bengal"
[listen]
frontend = "{ip}:{frontend}"
ready = "{ip}:{ready}"
control_plane = "{ip}:{control}"
[limits]
cpu_quota = 0.25
cores = 1
memory_mb = {MEMORY_MB}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
recovery_s = 12
late_ms = 120
retry_after_s = 10
settle_ms = 1500
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 3.0
part_writes_per_s = 300
row_bytes = 65536
cross_part = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
"#
        );
        fs::write(&settings, text).expect("a settings file");
        Self {
            name,
            frontend: (ip, frontend).into(),
            ready: (ip, ready).into(),
            starts: 0,
            directory: directory.to_string(),
            settings,
            child: None,
            record: record.clone(),
        }
    }

    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self) {
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let line = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let mut words = line.expect("a command").trim_matches('"').split(' ');
        self.starts += 1;
        let log = File::create(format!(
            "{}/{}.{}.log",
            self.directory, self.name, self.starts
        ));
        let log = log.expect("a log");
        let mut command = Command::new(words.next().expect("a program"));
        command
            .args(words)
            .env_clear()
            .env("MARIGOLDROUTE_SETTINGS", &self.settings);
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log);
        let child = command.spawn().expect("the program of the deploy file");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        self.record.add(format!("{} started", self.name));
    }

    /// Waits until the readiness check passes; returns whether it does.
    pub fn is_ready(&self) -> bool {
        (0..200).any(|_| {
            thread::sleep(Duration::from_millis(50));
            self.says_ready()
        })
    }

    /// Returns whether the readiness check passes now.
    pub fn says_ready(&self) -> bool {
        let answer = self.probe();
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    fn probe(&self) -> Option<String> {
        let mut stream = TcpStream::connect(self.ready).ok()?;
        stream
            .write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            .ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let mut answer = [0; 64];
        let length = stream.read(&mut answer).ok()?;
        Some(String::from_utf8_lossy(&answer[..length]).into_owned())
    }

    /// Returns the resident memory of the process in kB.
    pub fn memory_kb(&self) -> u64 {
        let process = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
            .unwrap_or(0)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let status = self
            .child
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten());
        status.is_some()
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self, reason: &str) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING
                .lock()
                .unwrap()
                .retain(|process| *process != child.id());
            self.record.add(format!("{} killed: {reason}", self.name));
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill("the end of the case");
    }
}

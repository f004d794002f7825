//! The platform: machines that run the program of the deploy file, and the record of a run.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
    fn sysconf(name: i32) -> i64;
}

/// Kills every process that still runs.
pub fn kill_all() {
    const SIGKILL: i32 = 9;
    for id in STARTED.lock().unwrap().drain(..) {
        // SAFETY: the call takes no pointers; the processes are children that were not waited for.
        unsafe { kill(id as i32, SIGKILL) };
    }
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: &str) {
        let (start, file) = &*self.0;
        let at = start.elapsed().as_secs_f64();
        let _ = writeln!(file.lock().unwrap(), "{at:9.3} {text}");
    }
}

/// Settings of a machine that differ between cases.
#[derive(Clone, Copy)]
pub struct Size {
    pub memory_mb: u32,
}

/// A machine with one process.
pub struct Machine {
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free_tcp(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Machine {
    pub fn new(folder: &Path, number: usize, store: SocketAddr, size: Size) -> Self {
        let (name, ip) = (format!("edge-zone-{number}"), format!("127.77.0.{number}"));
        let (frontend, ready, control) = (free_tcp(&ip), free_tcp(&ip), free_tcp(&ip));
        let peers = UdpSocket::bind((ip.as_str(), 0)).and_then(|socket| socket.local_addr());
        let last = peers.expect("a free port").port();
        let first = last - 1;
        let text = format!(
            r#"node_name = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "kolkata"
region = "bengal"
port_range = [{first},{last}]
seeds = ["{control}"]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
kolkata = "bengal"
[listen]
frontend = "{frontend}"
ready = "{ready}"
control_plane = "{control}"
[limits]
cpu_quota = 0.25
cores = 1
memory_mb = {}
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
"#,
            size.memory_mb
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the folder is writable");
        let log = folder.join(format!("{name}.log"));
        Self {
            frontend,
            ready,
            settings,
            log,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run
            .expect("a command")
            .trim_end()
            .trim_end_matches('"')
            .to_owned();
        let mut words = run.split(' ');
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .env("MARIGOLDROUTE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("the folder is writable"))
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("the program starts; run the build of the deploy file");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            STARTED.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        // SAFETY: the call takes no pointers; the process is a child that was not waited for.
        unsafe { kill(self.id() as i32, SIGTERM) };
    }

    /// Returns the resident memory of the process in bytes.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let pages = text
            .split(' ')
            .nth(1)
            .and_then(|pages| pages.parse::<u64>().ok());
        pages.unwrap_or(0) * page_size()
    }

    pub fn is_ready(&self) -> bool {
        let call = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
            let mut answer = [0; 12];
            std::io::Read::read_exact(&mut stream, &mut answer)?;
            Ok(&answer[9..] == b"200")
        };
        call().unwrap_or(false)
    }

    /// Waits until the process says that it is ready; returns whether it did.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Size of a page of memory in bytes.
fn page_size() -> u64 {
    const SC_PAGESIZE: i32 = 30;
    // SAFETY: `sysconf` only reads.
    unsafe { sysconf(SC_PAGESIZE) as u64 }
}

/// Counters by name.
#[derive(Clone, Default)]
pub struct Counts(Arc<Mutex<HashMap<String, u64>>>);

impl Counts {
    pub fn add(&self, name: &str, number: u64) {
        *self.0.lock().unwrap().entry(name.to_owned()).or_default() += number;
    }

    pub fn all(&self) -> String {
        let counts = self.0.lock().unwrap();
        let mut lines: Vec<_> = counts
            .iter()
            .map(|(name, number)| format!("{name}: {number}"))
            .collect();
        lines.sort();
        lines.join(", ")
    }
}

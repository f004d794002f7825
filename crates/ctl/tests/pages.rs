//! The commands on the pages for operators, run as printed against a local fleet of processes.
//!
//! Guards against pages whose commands no longer work. Each page continues from the page on
//! starting a fleet, so the commands of that page run first. Only the ports are replaced by free
//! ones.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    fs,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Command, Stdio},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

const START: &str = include_str!("../../../docs/operate/start.md");
/// Pages that explain and have no commands.
const REFERENCE: [&str; 1] = ["overload"];
/// First port that is tried.
const FIRST_PORT: u16 = 10_000;
/// Ports for one run of the tests; the pages together use fewer.
const SLOT_PORTS: u16 = 100;
/// Runs at the same time on one computer use different slots as a rule.
const PORT_SLOTS: u32 = 200;
/// Ends what the page started, by process id, whether its commands worked or not.
const PROLOGUE: &str = "set -euo pipefail\ntrap 'kill -KILL $(jobs -p) 2> /dev/null' EXIT\n";

/// Returns the commands of a page.
fn commands(page: &str) -> String {
    let mut commands = String::new();
    let mut is_inside = false;
    for line in page.lines() {
        match line {
            "```sh" => is_inside = true,
            "```" => is_inside = false,
            line if is_inside => {
                commands.push_str(line);
                commands.push('\n');
            }
            _ => {}
        }
    }
    commands
}

/// Returns a free port. It is below the range from which systems take the ports of outgoing
/// connections, so that it is still free when a process of the page binds it.
fn free_port() -> u16 {
    static NEXT: OnceLock<AtomicU16> = OnceLock::new();
    let next = NEXT.get_or_init(|| {
        let slot = std::process::id() % PORT_SLOTS;
        AtomicU16::new(FIRST_PORT + slot as u16 * SLOT_PORTS)
    });
    loop {
        let port = next.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Replaces each port on a loopback address by a free one.
fn with_free_ports(commands: &str) -> String {
    let mut parts = commands.split("127.0.0.1:");
    let mut ports = BTreeMap::new();
    let mut replaced = parts.next().unwrap().to_owned();
    for part in parts {
        let end = part.find(|c: char| !c.is_ascii_digit());
        let (port, rest) = part.split_at(end.unwrap_or(part.len()));
        let free = ports.entry(port).or_insert_with(free_port);
        replaced.push_str(&format!("127.0.0.1:{free}{rest}"));
    }
    replaced
}

/// Returns the folder with the binaries of the workspace.
fn binaries() -> PathBuf {
    let folder = Path::new(env!("CARGO_BIN_EXE_marigoldctl"))
        .parent()
        .unwrap();
    let router = folder.join("marigoldroute");
    assert!(
        router.exists(),
        "build the workspace first: {}",
        router.display()
    );
    folder.to_owned()
}

/// Writes the certificate that the page on TLS expects.
fn issue(folder: &Path) -> datatest_stable::Result<()> {
    let pair = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()])?;
    fs::write(folder.join("chain.pem"), pair.cert.pem())?;
    fs::write(folder.join("ca.pem"), pair.cert.pem())?;
    fs::write(folder.join("key.pem"), pair.signing_key.serialize_pem())?;
    Ok(())
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let page = fs::read_to_string(path)?;
    let own = commands(&page);
    let name = path.file_stem().unwrap().to_string_lossy();
    if REFERENCE.contains(&&*name) {
        assert!(
            !page.contains("```"),
            "the page has commands; take it off the list"
        );
        return Ok(());
    }
    assert!(!own.is_empty(), "the page has no commands");
    let own = if page == START { String::new() } else { own };
    let script = with_free_ports(&format!("{PROLOGUE}set -x\n{}{own}", commands(START)));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("page-{name}"));
    fs::create_dir_all(&folder)?;
    issue(&folder)?;
    let search = std::env::var("PATH")?;
    let log = folder.join("page.log");
    let output = fs::File::create(&log)?;
    let status = Command::new("bash")
        .args(["-c", &script])
        .env("PATH", format!("{}:{search}", binaries().display()))
        .current_dir(&folder)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .status()?;
    assert!(status.success(), "{name}: {}", fs::read_to_string(&log)?);
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "../../docs/operate", pattern = r"\.md$" },
}

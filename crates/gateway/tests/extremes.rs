//! Numbers at the limits of their types in requests, answers and configurations.

mod harness;

use harness::{Harness, upstream::Script};

/// Returns the peak memory of this process in MiB.
fn peak_mib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    let kib: usize = kib
        .and_then(|kib| kib.parse().ok())
        .expect("a number of KiB");
    kib >> 10
}

/// Guards against memory in proportion to the tokens that a caller states, which ends the process.
#[tokio::test]
async fn stated_prompt_parts_take_no_memory() {
    let (harness, _upstreams) = Harness::new(vec![Script::Complete(200, "the answer")]).await;
    let before = peak_mib();
    for (id, parts) in ["4294967295,4294967295,1", "4294967295,1,1,1,1"]
        .iter()
        .enumerate()
    {
        let request = harness.request("once", &format!("r{id}"));
        let response = request.header("x-parts", *parts).send().await;
        assert_eq!(response.expect("an answer").status(), 200);
    }
    let used = peak_mib() - before;
    assert!(used < 64, "{used} MiB more than before");
}

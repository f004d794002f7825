//! Request ids that carry the time of the request.

use {crate::id::RequestId, std::time::Duration};

/// Hexadecimal digits of the seconds since the Unix epoch.
const DIGITS: usize = 10;

/// Returns a new request id. `wall` is the time since the Unix epoch.
///
/// The time lets the ledger look for an earlier bill of the same request in the index of one time
/// slot, however late the second bill arrives.
pub fn new_request_id(wall: Duration, random: u64) -> RequestId {
    format!("{:0width$x}-{random:016x}", wall.as_secs(), width = DIGITS).into()
}

/// Returns the time since the Unix epoch that a request id carries.
pub fn time(request: &str) -> Option<Duration> {
    let (digits, _) = request.split_once('-')?;
    if digits.len() != DIGITS {
        return None;
    }
    u64::from_str_radix(digits, 16)
        .ok()
        .map(Duration::from_secs)
}

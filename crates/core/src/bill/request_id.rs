//! Request ids that contain the time of the request.

use {crate::id::RequestId, std::time::Duration};

/// Number of hexadecimal digits for the time, in seconds since the Unix epoch.
const TIME_DIGITS: usize = 10;

/// Returns a new request id, `{time}-{random}` in hexadecimal. `wall` is the time since the Unix
/// epoch.
///
/// With the time in the id, the ledger finds an earlier bill of the same request in the index of a
/// single time slot, however late the second bill arrives.
pub fn new_request_id(wall: Duration, random: u64) -> RequestId {
    format!(
        "{:0width$x}-{random:016x}",
        wall.as_secs(),
        width = TIME_DIGITS
    )
    .into()
}

/// Returns the time since the Unix epoch that a request id contains, or `None` for an id of another
/// form.
pub fn time(request: &str) -> Option<Duration> {
    let (digits, _) = request.split_once('-')?;
    if digits.len() != TIME_DIGITS {
        return None;
    }
    u64::from_str_radix(digits, 16)
        .ok()
        .map(Duration::from_secs)
}

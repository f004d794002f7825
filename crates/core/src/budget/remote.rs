//! Reservations that a holder makes for other hosts.
//!
//! Messages may be lost, repeated or late. A request is reserved at most once, and never after it
//! has ended.

use {
    crate::id::RequestId,
    std::{collections::HashMap, time::Duration},
};

/// Time after which a reservation expires because its host must be gone; no request lasts as long.
const HELD_TIMEOUT: Duration = Duration::from_secs(40);
/// Time for which the end of a request is retained; no message is delayed for longer.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// Limit of requests with state at a time.
const ENTRY_LIMIT: usize = 16_384;

/// Outcome of [`Reservations::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is new; the caller has to make its reservation.
    New,
    /// The reservation of the request is being made.
    Waiting,
    /// The request has a reservation.
    Held,
    /// The request has ended, or the limit of requests is reached.
    Refused,
}

#[derive(Debug)]
enum State<T> {
    Waiting,
    Held(T),
    Ended,
}

/// State of the requests of other hosts; `T` is a reservation.
#[derive(Debug)]
pub struct Reservations<T> {
    /// State of each request, with the time of its last change.
    entries: HashMap<RequestId, (State<T>, Duration)>,
}

impl<T> Default for Reservations<T> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
        }
    }
}

impl<T> Reservations<T> {
    /// Handles a message that asks for a reservation.
    pub fn admit(&mut self, now: Duration, request: &RequestId) -> Admission {
        match self.entries.get(request) {
            Some((State::Waiting, _)) => Admission::Waiting,
            Some((State::Held(_), _)) => Admission::Held,
            Some((State::Ended, _)) => Admission::Refused,
            None if self.entries.len() >= ENTRY_LIMIT => Admission::Refused,
            None => {
                self.entries.insert(request.clone(), (State::Waiting, now));
                Admission::New
            }
        }
    }

    /// Stores the reservation that was made for a waiting request.
    ///
    /// # Errors
    /// Returns the reservation when the request has ended meanwhile.
    pub fn hold(&mut self, now: Duration, request: &RequestId, held: T) -> Result<(), T> {
        match self.entries.get_mut(request) {
            Some(entry @ (State::Waiting, _)) => {
                *entry = (State::Held(held), now);
                Ok(())
            }
            _ => Err(held),
        }
    }

    /// Removes a waiting request for which no reservation was made, so that it can be admitted
    /// again.
    pub fn cancel(&mut self, request: &RequestId) {
        if matches!(self.entries.get(request), Some((State::Waiting, _))) {
            self.entries.remove(request);
        }
    }

    /// Marks a request as ended and returns its reservation, if it has one.
    pub fn end(&mut self, now: Duration, request: &RequestId) -> Option<T> {
        let ended = (State::Ended, now);
        match self.entries.insert(request.clone(), ended) {
            Some((State::Held(held), _)) => Some(held),
            _ => None,
        }
    }

    /// Ends and returns the reservations older than `HELD_TIMEOUT`, and removes requests that
    /// ended more than `ENDED_RETENTION` ago.
    pub fn expire(&mut self, now: Duration) -> Vec<T> {
        let age = |since: &Duration| now.saturating_sub(*since);
        let is_expired = |entry: &(State<T>, Duration)| {
            matches!(entry.0, State::Held(_)) && age(&entry.1) > HELD_TIMEOUT
        };
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let requests: Vec<_> = expired.map(|(request, _)| request.clone()).collect();
        let expired = requests.iter().filter_map(|request| self.end(now, request));
        let expired = expired.collect();
        self.entries
            .retain(|_, (state, at)| !matches!(state, State::Ended) || age(at) <= ENDED_RETENTION);
        expired
    }

    /// Ends all requests and returns their reservations.
    pub fn close(&mut self, now: Duration) -> Vec<T> {
        let requests: Vec<_> = self.entries.keys().cloned().collect();
        let ended = requests.iter().filter_map(|request| self.end(now, request));
        ended.collect()
    }
}

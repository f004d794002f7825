//! Reservations that a holder makes for other hosts.
//!
//! Messages may be lost, repeated and late. A reservation is made once for each request, and none
//! is made after its end.

use {
    crate::id::RequestId,
    std::{collections::HashMap, time::Duration},
};

/// Time after which a reservation ends although its host has not said so, because that host is gone.
/// No request lasts as long.
const HELD_LIMIT: Duration = Duration::from_secs(40);
/// Time for which the end of a reservation is remembered; a message is not later than that.
const ENDED_LIMIT: Duration = Duration::from_secs(10);
/// Most requests known at a time.
const ENTRIES_LIMIT: usize = 16_384;

/// What is known of a request that asks for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is new and now [`Admission::Waiting`].
    New,
    /// Its reservation is being made.
    Waiting,
    /// It has a reservation.
    Held,
    /// It has ended, or there are too many requests.
    Refused,
}

#[derive(Debug)]
enum State<T> {
    Waiting,
    Held(T),
    Ended,
}

/// Reservations for other hosts; `T` is a reservation.
#[derive(Debug)]
pub struct Reservations<T> {
    /// With the time of the last change.
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
    /// Takes the question for a reservation.
    pub fn admit(&mut self, now: Duration, request: &RequestId) -> Admission {
        match self.entries.get(request) {
            Some((State::Waiting, _)) => Admission::Waiting,
            Some((State::Held(_), _)) => Admission::Held,
            Some((State::Ended, _)) => Admission::Refused,
            None if self.entries.len() >= ENTRIES_LIMIT => Admission::Refused,
            None => {
                self.entries.insert(request.clone(), (State::Waiting, now));
                Admission::New
            }
        }
    }

    /// Keeps a reservation that was made for a waiting request.
    ///
    /// # Errors
    /// The reservation, when the request has ended meanwhile.
    pub fn hold(&mut self, now: Duration, request: &RequestId, held: T) -> Result<(), T> {
        match self.entries.get_mut(request) {
            Some(entry @ (State::Waiting, _)) => {
                *entry = (State::Held(held), now);
                Ok(())
            }
            _ => Err(held),
        }
    }

    /// Forgets a waiting request for which no reservation was made, so that it may ask again.
    pub fn cancel(&mut self, request: &RequestId) {
        if matches!(self.entries.get(request), Some((State::Waiting, _))) {
            self.entries.remove(request);
        }
    }

    /// Ends a request and returns its reservation, if it has one.
    pub fn end(&mut self, now: Duration, request: &RequestId) -> Option<T> {
        let ended = (State::Ended, now);
        match self.entries.insert(request.clone(), ended) {
            Some((State::Held(held), _)) => Some(held),
            _ => None,
        }
    }

    /// Returns the reservations whose hosts are gone, and forgets what ended long ago.
    pub fn expire(&mut self, now: Duration) -> Vec<T> {
        let age = |since: &Duration| now.saturating_sub(*since);
        let is_gone = |entry: &(State<T>, Duration)| {
            matches!(entry.0, State::Held(_)) && age(&entry.1) > HELD_LIMIT
        };
        let gone = self.entries.iter().filter(|(_, entry)| is_gone(entry));
        let gone: Vec<_> = gone.map(|(request, _)| request.clone()).collect();
        let expired = gone.iter().filter_map(|request| self.end(now, request));
        let expired = expired.collect();
        self.entries
            .retain(|_, (state, at)| !matches!(state, State::Ended) || age(at) <= ENDED_LIMIT);
        expired
    }

    /// Ends all reservations.
    pub fn close(&mut self, now: Duration) -> Vec<T> {
        let requests: Vec<_> = self.entries.keys().cloned().collect();
        let ended = requests.iter().filter_map(|request| self.end(now, request));
        ended.collect()
    }
}

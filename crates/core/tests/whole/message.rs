//! Messages between the routers, upstreams and the store of the model.

use {
    super::upstream::Kind,
    marigoldroute_core::{
        budget::Usage,
        config::{Packet, Read},
        fleet::Gossip,
        id::{BudgetId, RequestId, Tokens},
        table::{Row, Transaction},
    },
};

/// Budget and kind of request that a reservation is for.
#[derive(Clone, Debug)]
pub struct ReservationSpec {
    pub budget: BudgetId,
    pub kind: Kind,
}

/// Message from an entry to a holder.
#[derive(Clone, Debug)]
pub enum HolderMessage {
    Reserve {
        attempt: RequestId,
        spec: ReservationSpec,
        amount: Tokens,
    },
    Release {
        attempt: RequestId,
    },
    Settle {
        attempt: RequestId,
        spec: ReservationSpec,
        usage: Usage,
    },
    /// A service that keeps no records is about to receive the request.
    Announce {
        attempt: RequestId,
    },
    /// Asks the holder to review its share, because reservations at another holder wait for tokens.
    Review {
        budget: BudgetId,
    },
}

impl HolderMessage {
    pub fn attempt(&self) -> RequestId {
        match self {
            Self::Reserve { attempt, .. }
            | Self::Release { attempt }
            | Self::Announce { attempt }
            | Self::Settle { attempt, .. } => attempt.clone(),
            Self::Review { .. } => "".into(),
        }
    }
}

/// Why a holder refuses a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Exhausted,
    Unavailable,
}

/// State of the bill of an attempt at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Billing {
    Durable,
    Pending,
    Refused,
}

/// Reply of a holder to an entry.
#[derive(Clone, Debug)]
pub enum HolderReply {
    Reserved(RequestId, Result<(), Refusal>),
    Released(RequestId),
    Announced(RequestId, bool),
    Settled(RequestId, Billing),
}

/// An event of the simulation, with sender and receiver. A pair is a process: host and incarnation.
#[derive(Clone)]
pub enum Event {
    Packet(usize, usize, Packet),
    Gossip(usize, usize, Gossip),
    /// The store's answer to the configuration log of a process.
    Rows((usize, u64), Read, Option<Vec<Row>>),
    HolderMessage((usize, u64), usize, HolderMessage),
    HolderReply(usize, (usize, u64), HolderReply),
    /// A request to an upstream.
    Request {
        upstream: usize,
        attempt: RequestId,
        name: String,
        kind: Kind,
        output_tokens: u64,
    },
    /// A transaction that takes effect after its answer was lost.
    Late(Transaction),
}

//! A router with its claims, and an upstream.

use {
    marigoldroute_core::{
        claim::{Batch, Body, Finding, Permit, Query, Registry, Response, Sent, Settings, Unsent},
        id::{HolderId, RequestId},
        table::Verdict,
    },
    std::{
        collections::{HashSet, VecDeque},
        time::Duration,
    },
};

pub struct Router {
    pub author: HolderId,
    pub registry: Registry,
    /// Submitted batches with the verdicts of the store; `None` for a lost reply.
    pub replies: VecDeque<(Batch, Option<Verdict>)>,
    /// Queries with their results, once they are answered.
    pub queries: VecDeque<(Query, Option<Finding>)>,
    /// Permits of requests that are not sent yet, with their keys.
    pub unsent: VecDeque<(Permit<Unsent>, u8)>,
    /// Permits of sent requests, with the responses; `None` for a lost response.
    pub sent: VecDeque<(Permit<Sent>, Option<Response>)>,
    pub last_replay: Option<Response>,
}

impl Router {
    pub fn new(number: usize, incarnation: u32) -> Self {
        let author: HolderId = format!("h{number}.{incarnation}").into();
        Self {
            registry: Registry::new(author.clone(), Settings::default()),
            author,
            replies: VecDeque::new(),
            queries: VecDeque::new(),
            unsent: VecDeque::new(),
            sent: VecDeque::new(),
            last_replay: None,
        }
    }
}

#[derive(Default)]
pub struct Upstream {
    /// Request id, key and time of each execution.
    pub executions: Vec<(RequestId, u8, Duration)>,
    /// Ids of requests that the upstream refuses.
    pub fenced: HashSet<RequestId>,
}

impl Upstream {
    /// Executes a request and returns its response, or `None` when it is refused.
    pub fn execute(&mut self, request: &RequestId, key: u8, at: Duration) -> Option<Response> {
        if self.fenced.contains(request) {
            return None;
        }
        self.executions.push((request.clone(), key, at));
        Some(Response {
            status: 200,
            content_type: "text/plain".into(),
            body: Body::Text(format!("order of {request}").into()),
        })
    }

    pub fn has_run(&self, request: &str) -> bool {
        self.executions.iter().any(|(id, ..)| **id == *request)
    }
}

//! A router with its claims, and an upstream that executes.

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
    pub replies: VecDeque<(Batch, Option<Verdict>)>,
    pub queries: VecDeque<(Query, Option<Finding>)>,
    pub held: VecDeque<(Permit<Unsent>, u8)>,
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
            held: VecDeque::new(),
            sent: VecDeque::new(),
            last_replay: None,
        }
    }
}

#[derive(Default)]
pub struct Upstream {
    /// Request id, key and time of each execution.
    pub executions: Vec<(RequestId, u8, Duration)>,
    pub fenced: HashSet<RequestId>,
}

impl Upstream {
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

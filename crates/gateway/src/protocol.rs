//! How callers' requests and upstreams' answers are spelled.

use {
    derive_more::{Display, Error},
    marigoldroute_core::id::{ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    poem::http::{HeaderMap, Method, StatusCode, Uri},
    std::{sync::Arc, time::Duration},
};

/// Tokens that a request uses at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Output token limit.
    pub output: Tokens,
}

impl Usage {
    /// Returns the tokens that have to be reserved.
    pub fn total(&self) -> Tokens {
        self.prompt.saturating_add(self.output)
    }
}

/// A part of a prompt that other prompts may begin with as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifies the request.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Host name that the caller asked for.
    pub host: String,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Headers to hand on; those that the gateway sets itself are removed.
    pub headers: HeaderMap,
    /// Key of the caller.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller has received in an earlier request.
    pub last_event: Option<u64>,
    /// Model.
    pub model: Option<ModelId>,
    /// Tokens; absent for plain services.
    pub usage: Option<Usage>,
    /// Parts of the prompt in order; the last one belongs to the request or its session.
    pub prompt_parts: Vec<PromptPart>,
}

/// Why a request cannot be served at all.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Malformed {
    /// No usable id.
    #[display("the request id is missing or malformed")]
    Id,
    /// No host name, or several.
    #[display("the host name is missing or ambiguous")]
    Host,
    /// The tokens of the request cannot be read.
    #[display("the stated tokens are malformed")]
    Usage,
    /// Two statements of the body's length.
    #[display("the length of the body is ambiguous")]
    Length,
}

/// What the gateway adds to a request for an upstream.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// The upstream that has to run it, and no other process that may have its address now.
    pub upstream: &'a UpstreamId,
    /// Workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// How long the answer is awaited.
    pub timeout: Duration,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// Load that an upstream states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
}

/// The head of an upstream's answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller; those that concern one connection are removed.
    pub headers: HeaderMap,
    /// Request that the answer belongs to.
    pub id: Option<RequestId>,
    /// Whether the upstream states that it did not run the request.
    pub is_refused: bool,
    /// Whether the upstream vouches for the answer.
    pub is_signed: bool,
    /// Load, when stated.
    pub load: Option<Load>,
    /// Whether the upstream closes the connection.
    pub is_closing: bool,
    /// How long the upstream keeps the connection open without a request.
    pub keep_alive: Option<Duration>,
}

/// Translates between the wire and the gateway; it decides nothing.
pub trait Protocol: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// [`Malformed`].
    fn parse_request(
        &self,
        method: &Method,
        target: &Uri,
        headers: &HeaderMap,
    ) -> Result<RequestHead, Malformed>;

    /// Returns the headers of a request for an upstream.
    fn upstream_headers(&self, head: &RequestHead, attempt: &Attempt<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Returns the headers of an answer that the gateway makes itself.
    fn error_headers(&self, head: Option<&RequestHead>) -> HeaderMap;
}

//! Translation between HTTP headers and the types of the gateway.

use {
    derive_more::{Display, Error},
    marigoldroute_core::{
        forward::Urgency,
        id::{ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
        throttle::Statement,
    },
    poem::http::{HeaderMap, Method, StatusCode, Uri, header::CONTENT_TYPE},
    std::{sync::Arc, time::Duration},
};

/// Upper bound of the tokens that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Limit of output tokens.
    pub output: Tokens,
}

impl Usage {
    /// Returns the tokens to reserve: the prompt and the output limit.
    pub fn total(&self) -> Tokens {
        self.prompt.saturating_add(self.output)
    }
}

/// A part of a prompt. Prompts that begin with the same parts share a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content: equal parts have the same id.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Id of the request; the response of an upstream repeats it.
    pub id: RequestId,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Requested host name, by which the route is found.
    pub host: String,
    /// Path and query, forwarded unchanged.
    pub target: Uri,
    /// Headers to forward, without those that the gateway sets itself.
    pub headers: HeaderMap,
    /// API key of the caller, if the request has one.
    pub key: Option<Arc<str>>,
    /// Time that the caller waits for the response, when stated.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller received before it resumed a stream.
    pub last_event: Option<u64>,
    /// Requested model, if stated.
    pub model: Option<ModelId>,
    /// Stated tokens; absent for plain services.
    pub usage: Option<Usage>,
    /// Parts of the prompt in order; the last one belongs to the request or its session alone.
    pub prompt_parts: Vec<PromptPart>,
}

/// Why the head of a request cannot be parsed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Malformed {
    /// There is no valid id, or there are several.
    #[display("the request id is missing or malformed")]
    Id,
    /// There is no valid host name, or there are several.
    #[display("the host name is missing or ambiguous")]
    Host,
    /// The stated tokens cannot be parsed.
    #[display("the stated tokens are malformed")]
    Usage,
    /// Both `content-length` and `transfer-encoding` are given.
    #[display("the length of the body is ambiguous")]
    Length,
}

/// What the gateway adds to a request in one attempt at an upstream.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Upstream that has to run the request; another process that now has its address must refuse.
    pub upstream: &'a UpstreamId,
    /// Workspace of the caller, if any.
    pub workspace: Option<&'a WorkspaceId>,
    /// Urgency that the upstream is to serve the request with, if it is to know one.
    pub urgency: Option<Urgency>,
    /// Time until the response is due.
    pub timeout: Duration,
    /// Id of the last event that the caller received; the upstream continues after it.
    pub last_event: Option<u64>,
}

/// Load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Largest number of requests that run at the same time.
    pub slots: u32,
    /// How long work takes at this moment, relative to the usual time; absent when not stated.
    pub slowdown: Option<f32>,
}

/// Head of an upstream's response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status, returned to the caller unchanged.
    pub status: StatusCode,
    /// Headers to return to the caller, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Id of the request that the response belongs to.
    pub id: Option<RequestId>,
    /// Whether the upstream states that it did not run the request.
    pub is_refused: bool,
    /// Whether the upstream signed the response.
    pub is_signed: bool,
    /// Load of the upstream, when stated.
    pub load: Option<Load>,
    /// What the response says about the rate of requests that the upstream takes.
    pub rate: Statement,
    /// Whether the upstream states that it leaves: this process of it takes nothing new.
    pub is_leaving: bool,
    /// Time for which the upstream stays cold, when stated.
    pub cold_left: Option<Duration>,
    /// Time for which the upstream wants nothing from this host, when the response states one. It
    /// counts only in a response with status 503. In `headers`, it stays for the caller that gets
    /// this very response; no other response repeats it.
    pub pause: Option<Duration>,
    /// Whether the upstream closes the connection after the response.
    pub is_closing: bool,
    /// Idle timeout of the connection, when stated.
    pub keep_alive: Option<Duration>,
}

impl ResponseHead {
    /// Returns whether a stream that began with this response may go on with that of another
    /// upstream: with the same status and media type.
    pub(crate) fn is_continued_by(&self, other: &Self) -> bool {
        self.status == other.status && self.media_type() == other.media_type()
    }

    /// Returns whether the response does not say what became of the request: it is not final, or its
    /// status and the statement that the request did not run exclude each other.
    pub(crate) fn is_contradictory(&self) -> bool {
        let contradicts = match self.is_refused {
            true => self.status.is_success(),
            false => is_promise(self.status),
        };
        contradicts || !(200..600).contains(&self.status.as_u16())
    }

    fn media_type(&self) -> Option<String> {
        let value = self.headers.get(CONTENT_TYPE)?.to_str().ok()?;
        let media_type = value.split(';').next()?;
        Some(media_type.trim().to_ascii_lowercase())
    }
}

/// Returns whether a caller takes the status for the promise that its request did not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Parses and creates HTTP headers; holds no state and makes no decisions.
pub trait Protocol: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// [`Malformed`], which becomes the text of a response with status 400.
    fn parse_request(
        &self,
        method: &Method,
        target: &Uri,
        headers: &HeaderMap,
    ) -> Result<RequestHead, Malformed>;

    /// Returns the headers of an attempt at an upstream.
    fn upstream_headers(&self, head: &RequestHead, attempt: &Attempt<'_>) -> HeaderMap;

    /// Parses the head of an upstream's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Returns the headers of an error response that the gateway generates itself. `head` is absent
    /// when the request could not be parsed or its handling panicked.
    fn error_headers(&self, head: Option<&RequestHead>) -> HeaderMap;
}

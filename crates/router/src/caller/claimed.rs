//! The claim of a non-idempotent request while the request is served.

use {
    crate::{Clock, claim::Claims},
    marigoldroute_core::{
        claim::{
            self, Attempt, Body, Capability, Decision, Permit, Response as RecordedResponse, Sent,
            Unsent, digest,
        },
        fault::{Fault, Kind},
        id::{RequestId, WorkspaceId},
    },
    marigoldroute_store::Client,
    poem::{Response, http::StatusCode},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// Largest body in bytes that is stored in the claim row itself.
const INLINE_BYTES: usize = 16 << 10;
/// Largest body in bytes that is kept for replays; up to this size it is stored as an object.
const REPLAY_BYTES: usize = 1 << 20;

/// Parts of a request that identify its claim.
pub(super) struct ClaimSubject<'a> {
    pub(super) workspace: &'a WorkspaceId,
    pub(super) key: &'a str,
    pub(super) attempt: &'a RequestId,
    pub(super) method: &'a str,
    pub(super) path: &'a str,
    pub(super) body: &'a [u8],
    pub(super) capability: Capability,
}

/// State of the claim while its request is served.
enum State {
    /// The request needs no claim.
    NotNeeded,
    Unsent(Permit<Unsent>),
    Sent(Permit<Sent>),
}

/// The claim of a request; the state is `NotNeeded` for one that may be repeated.
pub(super) struct RequestClaim {
    claims: Claims,
    clock: Clock,
    state: State,
}

/// Outcome of the claim: run the request, or replay its recorded result.
pub(super) enum ClaimOutcome {
    Run(RequestClaim),
    /// The request ran before; this is its recorded result.
    Replay(Response),
}

impl RequestClaim {
    /// Creates the claim of a request that needs none.
    pub(super) fn not_needed(claims: &Claims, clock: Clock) -> Self {
        Self {
            claims: claims.clone(),
            clock,
            state: State::NotNeeded,
        }
    }

    /// Claims the idempotency key of a non-idempotent request.
    ///
    /// # Errors
    /// The reason why the request must not run.
    pub(super) async fn claim(
        claims: &Claims,
        clock: Clock,
        platform: &Client,
        subject: ClaimSubject<'_>,
    ) -> Result<ClaimOutcome, Fault> {
        let attempt = Attempt {
            workspace: subject.workspace.clone(),
            key: subject.key.into(),
            body: digest(&[
                subject.method.as_bytes(),
                subject.path.as_bytes(),
                subject.body,
            ]),
            request: subject.attempt.clone(),
            capability: subject.capability,
        };
        let decision = claims.submit(attempt).await?;
        if let Some(fault) = decision.fault() {
            return Err(fault);
        }
        match decision {
            Decision::Run(permit) => Ok(ClaimOutcome::Run(Self {
                state: State::Unsent(permit),
                ..Self::not_needed(claims, clock)
            })),
            Decision::Replay(recorded) => {
                replay(platform, recorded).await.map(ClaimOutcome::Replay)
            }
            _ => Err(Fault::new(Kind::Internal, "the claim was not decided")),
        }
    }

    /// Marks the request as sent; must be called directly before the first byte is sent.
    ///
    /// # Errors
    /// [`Kind::ClaimUnavailable`] if the claim is too old.
    pub(super) fn begin_send(&mut self) -> Result<(), Fault> {
        self.state = match std::mem::replace(&mut self.state, State::NotNeeded) {
            State::Unsent(permit) => match permit.begin_send(now(self.clock)) {
                Ok(sent) => State::Sent(sent),
                Err(permit) => {
                    self.state = State::Unsent(permit);
                    let message = "the claim of the key is too old to run the request";
                    return Err(Fault::new(Kind::ClaimUnavailable, message));
                }
            },
            state => state,
        };
        Ok(())
    }

    /// Marks the request as unsent again, after an upstream that acted on no byte of it.
    pub(super) fn mark_unsent(&mut self) {
        self.state = match std::mem::replace(&mut self.state, State::NotNeeded) {
            State::Sent(permit) => State::Unsent(permit.into_unsent()),
            state => state,
        };
    }

    /// Ends the claim without a recorded result: releases it if the request was not sent, otherwise
    /// marks it as unresolved.
    pub(super) async fn abandon(self) {
        match self.state {
            State::NotNeeded => {}
            State::Unsent(permit) => self.claims.push(permit.release()).await,
            State::Sent(permit) => self.claims.push(permit.mark_unresolved()).await,
        }
    }

    /// Records the response for replays.
    pub(super) async fn record(
        self,
        platform: &Client,
        status: u16,
        content_type: &str,
        body: &[u8],
    ) {
        let State::Sent(permit) = self.state else {
            return;
        };
        let recorded = RecordedResponse {
            status,
            content_type: content_type.into(),
            body: store(platform, permit.request(), body).await,
        };
        self.claims.push(permit.record(recorded)).await;
    }

    /// Records that a streamed request ran; its answer is not kept for replays.
    pub(super) async fn record_stream(self, tokens: u64) {
        if let State::Sent(permit) = self.state {
            let body = Body::TooLarge { bytes: tokens };
            let recorded = RecordedResponse {
                status: StatusCode::OK.as_u16(),
                content_type: "text/event-stream".into(),
                body,
            };
            self.claims.push(permit.record(recorded)).await;
        }
    }
}

/// Stores a body for replays: in the claim row, in the object store, or not at all if it is too
/// large or the object store does not answer.
async fn store(platform: &Client, request: &str, body: &[u8]) -> Body {
    let inline = Body::inline(body, INLINE_BYTES);
    if !matches!(inline, Body::TooLarge { .. }) || body.len() > REPLAY_BYTES {
        return inline;
    }
    let key = format!("claims/{request}");
    match platform.put_object(&key, body.to_vec()).await {
        Ok(()) => Body::Object(key.into()),
        Err(_) => inline,
    }
}

async fn replay(platform: &Client, recorded: RecordedResponse) -> Result<Response, Fault> {
    let body = match &recorded.body {
        Body::Object(key) => platform.get_object(key).await.ok().flatten(),
        body => body.bytes(),
    };
    let missing = || {
        let message = "the request ran; its response cannot be read now";
        Fault::new(Kind::KeyUnresolved, message)
            .with_outcome(marigoldroute_core::fault::Outcome::Ran)
    };
    let status = StatusCode::from_u16(recorded.status).map_err(|_| missing())?;
    let response = Response::builder().status(status);
    let response = response.header("idempotency-replayed", "true");
    Ok(response
        .content_type(&*recorded.content_type)
        .body(body.ok_or_else(missing)?))
}

fn now(clock: Clock) -> claim::Timestamp {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    claim::Timestamp {
        monotonic: clock.now(),
        wall: wall.unwrap_or_default(),
    }
}

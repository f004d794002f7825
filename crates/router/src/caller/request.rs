//! Parts of a caller's request.

use {
    marigoldroute_core::{
        bill::new_request_id,
        fault::{Fault, Kind},
        id::{ModelId, RequestId, Tokens, WorkspaceId},
        route::prefix_hashes,
    },
    poem::Request,
    rand::RngCore,
    serde_json::{Map, Value},
    sha2::{Digest, Sha256},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// Length in bytes of a request id that is derived from a key, before its hexadecimal encoding.
const ID_BYTES: usize = 16;
/// Longest accepted idempotency key in bytes.
const KEY_LIMIT_BYTES: usize = 255;
/// Prompt bytes per token in the estimate that is billed if an engine reports no usage.
const BYTES_PER_TOKEN: u64 = 4;
/// Largest number of tokens that a chat template may add to a prompt.
const TEMPLATE_TOKENS: Tokens = 64;

/// Returns the idempotency key of a request.
pub(super) fn idempotency_key(request: &Request) -> Result<Option<String>, Fault> {
    let Some(key) = request.header("idempotency-key") else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > KEY_LIMIT_BYTES {
        let message = "Idempotency-Key must have 1 to 255 bytes";
        return Err(Fault::new(Kind::InvalidRequest, message));
    }
    Ok(Some(key.to_owned()))
}

/// Returns the value of the header `x-idempotent`, if there is one.
pub(super) fn is_idempotent(request: &Request) -> Result<Option<bool>, Fault> {
    match request.header("x-idempotent") {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => {
            let message = "x-idempotent: must be true or false";
            Err(Fault::new(Kind::InvalidRequest, message))
        }
    }
}

/// Returns a new random request id.
pub(super) fn new_id() -> RequestId {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    new_request_id(wall.unwrap_or_default(), rand::rng().next_u64())
}

/// Returns the id of a request. With an idempotency key it is derived from the workspace and the
/// key, so that a retry through another host has the same id; otherwise it is new.
pub(super) fn id(workspace: &WorkspaceId, key: Option<&str>) -> RequestId {
    match key {
        Some(key) => {
            let hash = Sha256::new()
                .chain_update(workspace.as_bytes())
                .chain_update([0]);
            let hash = hash.chain_update(key).finalize();
            hex::encode(&hash[..ID_BYTES]).into()
        }
        None => new_id(),
    }
}

/// Returns a new attempt id, `{request}.{random}`.
pub(super) fn attempt(request: &RequestId) -> RequestId {
    format!("{request}.{:08x}", rand::rng().next_u32()).into()
}

/// A completion request.
#[derive(Clone, Debug)]
pub(super) struct Prompt {
    pub(super) model: ModelId,
    pub(super) stream: bool,
    /// Output token limit; set in `body`.
    pub(super) limit: Tokens,
    /// Upper bound on the prompt tokens with any tokenizer.
    pub(super) prompt_bound: Tokens,
    /// Prompt tokens that are billed if the engine reports none.
    pub(super) prompt_estimate: Tokens,
    /// Hashes of the prompt's prefixes, see [`prefixes`].
    pub(super) prefixes: Vec<u64>,
    /// JSON body for the upstream.
    pub(super) body: String,
}

impl Prompt {
    /// Parses a request body; `limit` is the output token limit if the body names none.
    ///
    /// # Errors
    /// [`Kind::InvalidRequest`] if the body is malformed.
    pub(super) fn parse(bytes: &[u8], limit: Tokens) -> Result<Self, Fault> {
        let invalid = |message: &str| Fault::new(Kind::InvalidRequest, message);
        let mut body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|error| invalid(&format!("body is not a JSON object: {error}")))?;
        let model = body.get("model").and_then(Value::as_str);
        let model: ModelId = model
            .ok_or_else(|| invalid("model: must be a string"))?
            .into();
        let stream = flag(&body, "stream")?;
        let named = ["max_completion_tokens", "max_tokens"];
        let given = named
            .iter()
            .find_map(|name| body.get(*name).filter(|v| !v.is_null()));
        let limit = match given {
            Some(value) => value
                .as_u64()
                .filter(|limit| *limit > 0)
                .ok_or_else(|| invalid("max_tokens: must be a positive integer"))?,
            None => limit,
        };
        if body.get("n").is_some_and(|n| *n != 1) {
            return Err(invalid("n: only 1 is supported"));
        }
        body.remove("max_completion_tokens");
        body.insert("max_tokens".into(), limit.into());
        if stream {
            let options =
                serde_json::json!({"include_usage": true, "continuous_usage_stats": true});
            body.insert("stream_options".into(), options);
        }
        let size = bytes.len() as u64;
        Ok(Self {
            model,
            stream,
            limit,
            prompt_bound: size + TEMPLATE_TOKENS,
            prompt_estimate: size / BYTES_PER_TOKEN,
            prefixes: prefix_hashes(&text(&body)),
            body: Value::Object(body).to_string(),
        })
    }

    /// Lowers the output token limit, also in the body for the upstream.
    pub(super) fn shorten(&mut self, limit: Tokens) {
        self.limit = limit;
        if let Ok(mut body) = serde_json::from_str::<Map<String, Value>>(&self.body) {
            body.insert("max_tokens".into(), limit.into());
            self.body = Value::Object(body).to_string();
        }
    }

    /// Returns the upper bound on the tokens of the request.
    pub(super) fn bound(&self) -> Tokens {
        self.prompt_bound.saturating_add(self.limit)
    }
}

/// Returns the text from which prefix hashes are computed.
fn text(body: &Map<String, Value>) -> String {
    let prompt = body.get("messages").or_else(|| body.get("prompt"));
    prompt.map(Value::to_string).unwrap_or_default()
}

fn flag(body: &Map<String, Value>, name: &str) -> Result<bool, Fault> {
    match body.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(Fault::new(
            Kind::InvalidRequest,
            format!("{name}: must be a boolean"),
        )),
    }
}

#[cfg(test)]
mod tests;

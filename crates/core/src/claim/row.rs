//! Claim rows of the table service.

use {
    crate::{
        fault::{Fault, Kind},
        id::{HolderId, RequestId},
        table::Row,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{sync::Arc, time::Duration},
};

/// Bytes of a SHA-256 hash that are kept; 128 bits make a collision within 276 million rows a
/// matter of 1 in 10^22.
const HASH_BYTES: usize = 16;

/// Row `claim/{workspace}/{hash of key}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The process that created the row or took it over.
    pub author: HolderId,
    /// The attempt that may run; unique per attempt, so that a row names exactly one.
    pub request: RequestId,
    /// Hash of the request's method, path and body.
    pub body: Arc<str>,
    /// Seconds since the Unix epoch on the author's clock.
    pub created: u64,
    /// Progress.
    pub state: State,
}

/// Progress of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It may be sent, or was sent and has no recorded result.
    Running,
    /// It was sent, and its author does not know whether it was executed.
    Unresolved,
    /// It was executed.
    Done(Response),
}

/// The response that replays return.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status; 0 when only the fact of the execution is known.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Body or its location.
    pub body: Body,
}

/// The body of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// UTF-8 text.
    Text(Arc<str>),
    /// Other bytes, as hexadecimal digits.
    Hex(Arc<str>),
    /// Key in the object store.
    Object(Arc<str>),
    /// The body was over the limit of the object store or could not be stored there.
    TooLarge {
        /// Size of the body in bytes.
        bytes: u64,
    },
    /// The request ran, but the response was lost with its router.
    Missing,
}

impl Body {
    /// Returns the body to record: inline up to `limit` bytes, else [`Self::TooLarge`], which
    /// the caller replaces by [`Self::Object`] after it stored the body.
    pub fn inline(bytes: &[u8], limit: usize) -> Self {
        if bytes.len() > limit {
            let bytes = bytes.len() as u64;
            return Self::TooLarge { bytes };
        }
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.into()),
            Err(_) => Self::Hex(hex::encode(bytes).into()),
        }
    }

    /// Returns the bytes of an inline body.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.as_bytes().to_vec()),
            Self::Hex(digits) => hex::decode(&**digits).ok(),
            Self::Object(_) | Self::TooLarge { .. } | Self::Missing => None,
        }
    }
}

impl Claim {
    /// Decodes a row.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the value is not a claim.
    pub fn decode(row: &Row) -> Result<Self, Fault> {
        serde_json::from_str(&row.value).map_err(|error| {
            let message = format!("row {} is not a claim: {error}", row.key);
            Fault::new(Kind::Internal, message)
        })
    }

    /// Encodes the value of a row.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns whether the retention has passed at `wall`, the time since the Unix epoch.
    pub fn is_expired(&self, wall: Duration, retention: Duration) -> bool {
        wall.saturating_sub(Duration::from_secs(self.created)) >= retention
    }
}

/// Returns the key of a claim row. The last part has a fixed length, so that workspace paths and
/// keys cannot be confused.
pub fn key(workspace: &str, idempotency_key: &str) -> Arc<str> {
    let hash = digest(&[idempotency_key.as_bytes()]);
    format!("claim/{workspace}/{hash}").into()
}

/// Returns the hash of several fields; each is preceded by its length.
pub fn digest(fields: &[&[u8]]) -> Arc<str> {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hex::encode(&hash.finalize()[..HASH_BYTES]).into()
}

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

/// Number of bytes to which SHA-256 hashes are truncated. With 128 bits the probability of a
/// collision among 276 million rows is 1 in 10^22.
const HASH_BYTES: usize = 16;

/// Row `claim/{workspace}/{hash of the idempotency key}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Process that created the row or took it over.
    pub author: HolderId,
    /// Id of the only attempt that may run; unique per attempt.
    pub request: RequestId,
    /// Hash of the method, path and body of the request.
    pub body: Arc<str>,
    /// Time of the first submission in seconds since the Unix epoch, by the clock of the author.
    pub created: u64,
    /// Progress of the request.
    pub state: State,
}

/// Progress of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request may be sent, or was sent and has no recorded response.
    Running,
    /// The request was sent, and the author does not know whether it was executed.
    Unresolved,
    /// The request was executed.
    Done(Response),
}

/// Recorded response of a request, which replays return.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status; 0 when it is only known that the request was executed.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Arc<str>,
    /// The body or where it is stored.
    pub body: Body,
}

/// Body of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// UTF-8 text.
    Text(Arc<str>),
    /// Other bytes, as hexadecimal digits.
    Hex(Arc<str>),
    /// Key of the object that contains the body.
    Object(Arc<str>),
    /// The body was not stored: it exceeded the size limit for the object store, or the store
    /// failed.
    TooLarge {
        /// Size of the body in bytes.
        bytes: u64,
    },
    /// The request was executed, but the response was lost with the router that received it.
    Missing,
}

impl Body {
    /// Returns an inline body if it has at most `limit` bytes, otherwise [`Self::TooLarge`], which
    /// the caller replaces with [`Self::Object`] once it has stored the body.
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

    /// Returns the bytes of an inline body, or `None` for other bodies.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.as_bytes().to_vec()),
            Self::Hex(digits) => hex::decode(&**digits).ok(),
            Self::Object(_) | Self::TooLarge { .. } | Self::Missing => None,
        }
    }
}

impl Claim {
    /// Decodes a claim row.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the value is not a claim.
    pub fn decode(row: &Row) -> Result<Self, Fault> {
        serde_json::from_str(&row.value).map_err(|error| {
            let message = format!("row {} is not a claim: {error}", row.key);
            Fault::new(Kind::Internal, message)
        })
    }

    /// Encodes the claim as the value of its row.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns whether the claim is older than the retention at `wall`, the time since the Unix
    /// epoch.
    pub fn is_expired(&self, wall: Duration, retention: Duration) -> bool {
        wall.saturating_sub(Duration::from_secs(self.created)) >= retention
    }
}

/// Returns the key of a claim row. Its last part has a fixed length, so that keys of different
/// workspace paths cannot be equal.
pub fn key(workspace: &str, idempotency_key: &str) -> Arc<str> {
    let hash = digest(&[idempotency_key.as_bytes()]);
    format!("claim/{workspace}/{hash}").into()
}

/// Returns the hash of a sequence of fields in hexadecimal. Each field is hashed with its length,
/// so that the boundaries between fields count.
pub fn digest(fields: &[&[u8]]) -> Arc<str> {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hex::encode(&hash.finalize()[..HASH_BYTES]).into()
}

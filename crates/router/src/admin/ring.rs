//! The operators' keys and their roles.

use {
    super::{
        Admin,
        answer::{Refused, Result},
    },
    derive_more::Display,
    marigoldroute_core::{config::hash_key, fault::Kind},
    marigoldroute_store::Fault,
    poem_openapi::Enum,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, PoisonError},
    },
};

/// Key of the row with the operators' keys.
pub(super) const RING_KEY: &str = "admin/keys";
/// Name under which the first key appears in the audit entries.
pub(super) const INITIAL: &str = "initial";

/// What an operator's key allows.
#[derive(
    Clone, Copy, Debug, Display, Enum, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display(rename_all = "snake_case")]
#[oai(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub(crate) enum Role {
    /// Reads everything but secrets; every key has it.
    Read,
    /// Changes settings, workspaces and upstreams.
    Operate,
    /// Changes budgets and releases the tokens of lost hosts.
    Money,
}

impl Role {
    /// Every role.
    pub(super) const ALL: [Self; 3] = [Self::Read, Self::Operate, Self::Money];
}

/// A key as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Key {
    /// SHA-256 hash in hexadecimal; the key itself is never stored.
    pub(super) hash: String,
    pub(super) roles: BTreeSet<Role>,
}

/// Row [`RING_KEY`]: keys by operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ring {
    pub(super) keys: BTreeMap<String, Key>,
}

/// Who makes a call, and what the key allows.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) name: Arc<str>,
    roles: BTreeSet<Role>,
}

impl Holder {
    /// Requires a role.
    pub(super) fn require(&self, role: Role) -> Result<()> {
        if role == Role::Read || self.roles.contains(&role) {
            return Ok(());
        }
        let message = format!("the key of {} lacks the role {role}", self.name);
        Err(Refused::new(Kind::Forbidden, message))
    }
}

impl Admin {
    /// Returns who a key belongs to.
    ///
    /// The row is read for each call, so that a removed key ends at once. While the store does not
    /// answer, the keys read last are used: no write is possible then.
    pub(super) async fn identify(&self, key: &str) -> Option<Holder> {
        let hash = hash_key(key);
        if self.initial.as_ref().is_some_and(|own| **own == *hash) {
            return Some(Holder {
                name: INITIAL.into(),
                roles: Role::ALL.into(),
            });
        }
        let ring = match self.read_ring().await {
            Ok(ring) => ring,
            Err(_) => self.lock_ring().clone(),
        };
        let found = ring.keys.iter().find(|(_, key)| key.hash == hash);
        found.map(|(name, key)| Holder {
            name: name.as_str().into(),
            roles: key.roles.clone(),
        })
    }

    async fn read_ring(&self) -> std::result::Result<Arc<Ring>, Fault> {
        let row = self.platform.get(RING_KEY).await?;
        let ring = match row {
            Some(row) => serde_json::from_str(&row.value).map_err(|_| Fault::Malformed)?,
            None => Ring::default(),
        };
        let ring = Arc::new(ring);
        *self.lock_ring() = ring.clone();
        Ok(ring)
    }

    fn lock_ring(&self) -> std::sync::MutexGuard<'_, Arc<Ring>> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

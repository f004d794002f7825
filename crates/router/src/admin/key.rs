//! Authentication, and the operators' keys as a resource.

use {
    super::{
        Admin,
        answer::{Mistake, Refused, Result},
        page::{Page, Range},
        ring::{Holder, INITIAL, Key, RING_KEY, Ring, Role},
        write::{Effect, Step, Ticket, Write, execute, json},
    },
    marigoldroute_core::{fault::Kind, table::Transaction},
    marigoldroute_store::Fault,
    poem::Request,
    poem_openapi::{
        Object, OpenApi, SecurityScheme,
        auth::Bearer,
        param::{Header, Path, Query},
        payload::Json,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Most keys; the row is read for each call.
const KEYS_LIMIT: usize = 256;
/// Length of a SHA-256 hash in hexadecimal.
const HASH_CHARS: usize = 64;

/// The operator who makes a call, by the key in `Authorization: Bearer <key>`.
#[derive(SecurityScheme)]
#[oai(ty = "bearer", checker = "identify")]
pub(super) struct Operator(pub(super) Holder);

async fn identify(request: &Request, bearer: Bearer) -> poem::Result<Holder> {
    let admin = request.data::<Arc<Admin>>();
    let holder = match admin {
        Some(admin) => admin.identify(&bearer.token).await,
        None => None,
    };
    let refused = || Refused::new(Kind::Unauthenticated, "unknown key");
    Ok(holder.ok_or_else(refused)?)
}

/// Operations on the operators' keys.
pub(super) struct Api(pub(super) Arc<Admin>);

/// An operator's key, without the key itself.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Key")]
struct Shown {
    /// Name of the operator.
    name: String,
    /// What the key allows.
    roles: Vec<Role>,
}

/// A key to be accepted.
#[derive(Clone, Debug, Object, Serialize)]
#[oai(rename = "NewKey")]
struct New {
    /// SHA-256 hash of the key in lower-case hexadecimal.
    hash: String,
    /// What the key allows besides reading.
    roles: Vec<Role>,
}

/// The keys after a change.
#[derive(Clone, Debug, Object, Serialize, Deserialize)]
#[oai(rename = "Keys")]
struct Changed {
    /// Name of the operator.
    name: String,
    /// Number of keys afterwards.
    keys: u32,
}

/// Puts or removes a key.
struct Turn<'a> {
    name: &'a str,
    key: Option<Key>,
}

impl Write for Turn<'_> {
    async fn step(&self, admin: &Admin, _: &Ticket) -> Result<Step> {
        let row = admin.platform.get(RING_KEY).await?;
        let mut ring = match &row {
            Some(row) => serde_json::from_str(&row.value).map_err(|_| Fault::Malformed)?,
            None => Ring::default(),
        };
        let before = ring.keys.len();
        match &self.key {
            Some(key) => drop(ring.keys.insert(self.name.to_owned(), key.clone())),
            None if ring.keys.remove(self.name).is_some() => {}
            None => {
                let message = format!("no key of {}", self.name);
                return Err(Refused::new(Kind::NotFound, message));
            }
        }
        if ring.keys.len() > KEYS_LIMIT {
            let message = format!("more than {KEYS_LIMIT} keys");
            return Err(Refused::new(Kind::InvalidRequest, message));
        }
        let changed = Changed {
            name: self.name.to_owned(),
            keys: ring.keys.len() as u32,
        };
        let mut transaction = Transaction::default();
        transaction.require(RING_KEY, row.map_or(0, |row| row.version));
        transaction.put(RING_KEY, json(&ring));
        let effect = Effect {
            from: format!("{before} keys"),
            to: format!("{} keys", changed.keys),
            answer: serde_json::to_value(changed).unwrap_or_default(),
        };
        Ok(Step::Finish(transaction, effect))
    }
}

/// Changing keys gives away every role, so it needs every role.
fn require_all(operator: &Operator) -> Result<()> {
    let mut roles = Role::ALL.into_iter();
    roles.try_for_each(|role| operator.0.require(role))
}

fn check(name: &str, new: &New) -> Result<()> {
    let mut mistakes = Vec::new();
    let is_good = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.is_empty() || name.len() > HASH_CHARS || !name.bytes().all(is_good) {
        let message = "must be 1 to 64 letters, digits, '.', '_' or '-'";
        mistakes.push(Mistake::new("name", message));
    }
    if name == INITIAL {
        mistakes.push(Mistake::new("name", "is the name of the first key"));
    }
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if new.hash.len() != HASH_CHARS || !new.hash.bytes().all(is_hex) {
        let message = "must be a SHA-256 hash in lower-case hexadecimal";
        mistakes.push(Mistake::new("hash", message));
    }
    if mistakes.is_empty() {
        return Ok(());
    }
    Err(Refused::mistakes(mistakes))
}

#[OpenApi]
impl Api {
    /// Lists the operators' keys, without the first one.
    #[oai(path = "/keys", method = "get")]
    async fn list(
        &self,
        operator: Operator,
        /// Last name of the page before.
        after: Query<Option<String>>,
        /// Most keys of a page.
        limit: Query<Option<u32>>,
    ) -> Result<Json<Page<Shown>>> {
        operator.0.require(Role::Read)?;
        let range = Range::new(after.0, limit.0)?;
        let row = self.0.platform.get(RING_KEY).await?;
        let ring: Ring = match row {
            Some(row) => serde_json::from_str(&row.value).map_err(|_| Fault::Malformed)?,
            None => Ring::default(),
        };
        let shown = ring.keys.into_iter().map(|(name, key)| {
            let shown = Shown {
                name: name.clone(),
                roles: key.roles.into_iter().collect(),
            };
            (name, shown)
        });
        Ok(Json(range.cut(shown)))
    }

    /// Accepts a key of an operator, in place of an earlier one.
    #[oai(path = "/keys/:name", method = "put")]
    async fn put(
        &self,
        operator: Operator,
        /// Name of the operator.
        name: Path<String>,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
        body: Json<New>,
    ) -> Result<Json<Changed>> {
        require_all(&operator)?;
        check(&name, &body)?;
        let ticket = Ticket::new(&operator, &request, "keys put", name.as_str(), &body.0)?;
        let key = Key {
            hash: body.hash.clone(),
            roles: body.roles.iter().copied().collect(),
        };
        let turn = Turn {
            name: &name,
            key: Some(key),
        };
        execute(&self.0, &ticket, &turn).await.map(Json)
    }

    /// Removes the key of an operator.
    #[oai(path = "/keys/:name", method = "delete")]
    async fn delete(
        &self,
        operator: Operator,
        /// Name of the operator.
        name: Path<String>,
        /// Request id.
        #[oai(name = "x-request-id")]
        request: Header<String>,
    ) -> Result<Json<Changed>> {
        require_all(&operator)?;
        let ticket = Ticket::new(&operator, &request, "keys delete", name.as_str(), &())?;
        let turn = Turn {
            name: &name,
            key: None,
        };
        execute(&self.0, &ticket, &turn).await.map(Json)
    }
}

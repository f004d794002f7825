//! Routers with the administration API, and operators who call it, for tests.

#![allow(dead_code, reason = "each test program uses a part of it")]
#![allow(clippy::unwrap_used)]

use {
    crate::fleet::{Environment, local},
    marigoldroute::{Handle, Settings},
    marigoldroute_core::config::hash_key,
    marigoldroute_store::StandIn as Platform,
    reqwest::Method,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// The first operator's key.
pub const KEY: &str = "key-of-the-first-operator";

/// A fleet with the administration API.
pub struct Fleet {
    pub platform: Platform,
    outside: Environment,
    pub routers: Vec<Handle>,
}

/// An operator who calls one router.
#[derive(Clone, Debug)]
pub struct Operator {
    base: String,
    key: String,
}

/// An answer of the API.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

impl Answer {
    /// Returns the kind of an error.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or_default()
    }

    /// Returns the body of an accepted call.
    pub fn accepted(self) -> Value {
        assert_eq!(self.status, 200, "{}", self.body);
        self.body
    }

    /// Returns the paths and settings of the mistakes, sorted.
    pub fn mistakes(&self) -> Vec<String> {
        let mistakes = self.body["error"]["mistakes"].as_array();
        let place = |mistake: &Value| {
            let path = mistake["path"].as_str().unwrap_or_default();
            match mistake["setting"].as_str() {
                Some(setting) => format!("{path}:{setting}"),
                None => path.to_owned(),
            }
        };
        let mut places: Vec<_> = mistakes.into_iter().flatten().map(place).collect();
        places.sort();
        places
    }
}

impl Fleet {
    /// Starts routers on a platform without engines and without a configuration.
    pub async fn start(routers: usize) -> Self {
        let outside = Environment::start(0, 0).await;
        let mut fleet = Self {
            platform: outside.platform.clone(),
            outside,
            routers: Vec::new(),
        };
        for number in 0..routers {
            let settings = Settings {
                admin_key_hash: Some(hash_key(KEY).into()),
                listen: local(),
                platform_timeout: Duration::from_secs(5),
                ..fleet.outside.settings(number)
            };
            fleet
                .routers
                .push(marigoldroute::start(settings).await.unwrap());
        }
        fleet
    }

    /// Writes a row, as another process would.
    pub async fn put(&self, key: &str, value: &impl serde::Serialize) {
        self.outside.put(key, value).await;
    }

    /// Writes an object, as another process would.
    pub async fn put_object(&self, key: &str, value: Vec<u8>) {
        let written = self.outside.client.put_object(key, value);
        written.await.unwrap();
    }

    /// Returns an operator who calls a router with the first key.
    pub fn operator(&self, router: usize) -> Operator {
        self.operator_with(router, KEY)
    }

    /// Returns an operator who calls a router.
    pub fn operator_with(&self, router: usize, key: &str) -> Operator {
        Operator {
            base: format!("http://{}/admin/v1", self.routers[router].address()),
            key: key.to_owned(),
        }
    }

    /// Sets up a model with two upstreams, a service with one and a workspace.
    pub async fn configure(&self) {
        let operator = self.operator(0);
        let edits = json!([
            {"add": {"path": "drafting", "kind": "model"}},
            {"add": {"path": "orders", "kind": "service"}},
            {"set": {"path": "orders", "setting": "price", "value": {"tokens": 5}}},
            {"set": {"path": "", "setting": "region", "value": {"text": "east"}}},
            {"set": {"path": "", "setting": "availability_zone", "value": {"text": "howrah"}}},
            {"set": {"path": "", "setting": "budget", "value": {"text": "hems"}}},
            {"set": {"path": "", "setting": "output_limit", "value": {"tokens": 64}}},
            {"add": {"path": "kolkata", "kind": "workspace"}},
        ]);
        let body = json!({"base": 0, "edits": edits});
        let applied = operator.post("setup-tree", "/settings/apply", &body);
        applied.await.accepted();
        for (number, path) in ["drafting/d1", "drafting/d2", "orders/o1"]
            .iter()
            .enumerate()
        {
            let url = format!("http://127.0.0.1:{}", number + 1);
            let body = json!({"path": path, "url": url, "labels": {"lot": "a"}});
            let request = format!("setup-{number}");
            let added = operator.post(&request, "/upstreams", &body);
            added.await.accepted();
        }
    }
}

impl Operator {
    /// Returns an operator who calls the router at an address with the first key.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            base: format!("http://{address}/admin/v1"),
            key: KEY.to_owned(),
        }
    }

    pub async fn get(&self, path: &str) -> Answer {
        self.call(Method::GET, path, None, &Value::Null).await
    }

    pub async fn post(&self, request: &str, path: &str, body: &Value) -> Answer {
        self.call(Method::POST, path, Some(request), body).await
    }

    /// Makes a write that must be accepted.
    pub async fn make(&self, request: &str, path: &str, body: Value) -> Value {
        self.post(request, path, &body).await.accepted()
    }

    pub async fn put(&self, request: &str, path: &str, body: &Value) -> Answer {
        self.call(Method::PUT, path, Some(request), body).await
    }

    pub async fn call(
        &self,
        method: Method,
        path: &str,
        request: Option<&str>,
        body: &Value,
    ) -> Answer {
        let url = format!("{}{path}", self.base);
        let mut call = reqwest::Client::new().request(method, url);
        if !self.key.is_empty() {
            call = call.bearer_auth(&self.key);
        }
        if let Some(request) = request {
            call = call.header("x-request-id", request);
        }
        if !body.is_null() {
            call = call.json(body);
        }
        let response = call.send().await.unwrap();
        let status = response.status().as_u16();
        let text = response.text().await.unwrap();
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Answer { status, body }
    }

    /// Returns the version that this router shows.
    pub async fn version(&self) -> u64 {
        let tree = self.get("/settings?limit=1").await.accepted();
        tree["version"].as_u64().unwrap()
    }

    /// Returns the tokens bought of a budget.
    pub async fn purchased(&self, budget: &str) -> u64 {
        let budget = self.get(&format!("/budgets/{budget}")).await.accepted();
        budget["purchased"].as_u64().unwrap()
    }
}

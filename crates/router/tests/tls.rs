//! TLS for callers and operators, with certificates made by the test.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{Outside, until},
    marigoldroute::{Handle, Settings},
    marigoldroute_core::config::hash_key,
    rcgen::{CertifiedKey, KeyPair, generate_simple_self_signed},
    reqwest::{Certificate, Client, StatusCode},
    serde_json::{Value, json},
    std::{
        fs,
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
        process::{Command, Stdio},
        time::Duration,
    },
};

const OPERATOR: &str = "key-of-the-operator";
/// Last of the 16 tokens that the stand-in makes for the output token limit.
const LAST_TOKEN: &str = "w15 ";

/// Files of a certificate and its key in a folder of their own.
struct Files {
    certificate: PathBuf,
    key: PathBuf,
}

fn pair() -> CertifiedKey<KeyPair> {
    generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap()
}

/// Replaces a file as a whole, so that no reader sees a part of it.
fn put(path: &Path, content: &str) {
    let written = path.with_extension("new");
    fs::write(&written, content).unwrap();
    fs::rename(written, path).unwrap();
}

impl Files {
    fn new(test: &str) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("tls-{test}"));
        fs::create_dir_all(&folder).unwrap();
        Self {
            certificate: folder.join("chain.pem"),
            key: folder.join("key.pem"),
        }
    }

    /// Writes a new pair, the key first; returns a client that trusts only this pair.
    fn renew(&self) -> Client {
        let pair = pair();
        put(&self.key, &pair.signing_key.serialize_pem());
        put(&self.certificate, &pair.cert.pem());
        let trusted = Certificate::from_pem(pair.cert.pem().as_bytes()).unwrap();
        // Without idle connections each call makes a handshake and sees the pair in effect.
        let client = Client::builder().tls_certs_only([trusted]);
        client.pool_max_idle_per_host(0).build().unwrap()
    }

    fn settings(&self, outside: &Outside) -> Settings {
        Settings {
            tls_certificate: Some(self.certificate.as_path().into()),
            tls_key: Some(self.key.as_path().into()),
            tls_interval: Duration::from_millis(20),
            admin_key_hash: Some(hash_key(OPERATOR).into()),
            // A stream that the engine holds is silent for longer than the fleet's default.
            upstream_timeout: Duration::from_secs(60),
            ..outside.settings(1)
        }
    }
}

/// A router that serves over TLS.
struct Scene {
    outside: Outside,
    files: Files,
    router: Handle,
    /// Trusts the first pair.
    client: Client,
}

impl Scene {
    async fn start(test: &str) -> Self {
        let (outside, files) = (Outside::start(1, 100_000).await, Files::new(test));
        let client = files.renew();
        let router = marigoldroute::start(files.settings(&outside))
            .await
            .unwrap();
        until(|| async {
            let proposed = router.propose(outside.change(), "test", "first").await;
            proposed.is_ok()
        })
        .await;
        let scene = Self {
            outside,
            files,
            router,
            client,
        };
        until(|| async {
            let ready = scene.client.get(scene.url("/readyz")).send().await;
            ready.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
        scene
    }

    fn url(&self, path: &str) -> String {
        format!("https://{}{path}", self.router.address())
    }

    fn stream(&self) -> reqwest::RequestBuilder {
        let body = json!({
            "model": "drafting", "stream": true, "max_tokens": 16,
            "messages": [{"role": "user", "content": "Draft a work sheet."}],
        });
        let call = self.client.post(self.url("/v1/chat/completions"));
        call.bearer_auth(fleet::KEY).json(&body)
    }

    /// Returns whether a client accepts the certificate in effect.
    async fn accepts(&self, client: &Client) -> bool {
        client.get(self.url("/livez")).send().await.is_ok()
    }

    async fn metric(&self, client: &Client, name: &str) -> u64 {
        let metrics = client.get(self.url("/metrics")).send().await.unwrap();
        let text = metrics.text().await.unwrap();
        let value = text.lines().find_map(|line| {
            let (found, value) = line.split_once(' ')?;
            (found == name).then(|| value.to_owned())
        });
        value.unwrap().parse().unwrap()
    }
}

/// Guards against an interface that TLS does not reach, and against plain HTTP beside it.
#[tokio::test(flavor = "multi_thread")]
async fn callers_and_operators_are_served_over_tls_only() {
    let scene = Scene::start("served").await;
    let streamed = scene.stream().send().await.unwrap();
    assert_eq!(streamed.status(), StatusCode::OK);
    let body = streamed.text().await.unwrap();
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    let call = scene.client.get(scene.url("/admin/v1/budgets"));
    let budgets = call.bearer_auth(OPERATOR).send().await.unwrap();
    let budgets: Value = budgets.json().await.unwrap();
    assert_eq!(budgets["items"][0]["budget"], fleet::BUDGET);
    let plain = scene.url("/livez").replace("https", "http");
    assert!(scene.client.get(plain).send().await.is_err());
    let stranger = Files::new("stranger").renew();
    assert!(!scene.accepts(&stranger).await);
}

/// Guards against a renewal that needs a restart or cuts a stream, against a broken pair that
/// ends service, and against a refusal that is counted at each look.
#[tokio::test(flavor = "multi_thread")]
async fn pairs_are_replaced_under_an_open_stream_and_broken_ones_refused() {
    let scene = Scene::start("renewed").await;
    scene.outside.engines[0].pause_at(Some(1));
    let mut stream = scene.stream().send().await.unwrap();
    let mut body = stream.chunk().await.unwrap().unwrap().to_vec();

    let second = scene.files.renew();
    until(|| scene.accepts(&second)).await;
    assert!(!scene.accepts(&scene.client).await);

    let refused = "marigoldroute_tls_refused_total";
    let before = scene.metric(&second, refused).await;
    put(&scene.files.key, &pair().signing_key.serialize_pem());
    until(|| async { scene.metric(&second, refused).await == before + 1 }).await;
    put(&scene.files.certificate, "not a certificate");
    until(|| async { scene.metric(&second, refused).await == before + 2 }).await;
    assert!(scene.accepts(&second).await);

    let third = scene.files.renew();
    until(|| scene.accepts(&third)).await;
    assert!(!scene.accepts(&second).await);

    scene.outside.engines[0].pause_at(None);
    while let Some(chunk) = stream.chunk().await.unwrap() {
        body.extend_from_slice(&chunk);
    }
    let body = String::from_utf8(body).unwrap();
    assert!(body.contains(LAST_TOKEN), "{body}");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    let reloads = scene.metric(&third, "marigoldroute_tls_reloads_total");
    assert_eq!(reloads.await, 2);
}

/// Guards against a router that needs CA certificates although it makes no call over TLS.
#[test]
fn a_host_without_ca_certificates_starts() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_marigoldroute"))
        .env_clear()
        .env("SSL_CERT_FILE", "/dev/null")
        .env("SSL_CERT_DIR", "/nowhere")
        .args(["--host", "router-1", "--fleet-key", "a-key-of-16-bytes"])
        .args(["--listen", "127.0.0.1:0", "--listen-peers", "127.0.0.1:0"])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let started = lines
        .map_while(Result::ok)
        .find(|line| line.contains("\"started\""));
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(started.is_some(), "it ended before it started");
}

fn check(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldroute"));
    command.env_clear().arg("--check").args(arguments);
    command.args(["--host", "router-1", "--fleet-key", "a-key-of-16-bytes"]);
    let output = command.output().unwrap();
    let found = String::from_utf8(output.stderr).unwrap();
    let found = found.trim_start_matches("marigoldroute: ");
    (output.status.code(), found.trim_end().to_owned())
}

/// Guards against a start with TLS files that cannot work, and against mistakes reported one at a
/// time.
#[test]
fn each_mistake_in_the_files_is_reported() {
    let files = Files::new("checked");
    let certificate = files.certificate.to_str().unwrap();
    let key = files.key.to_str().unwrap();
    let checked = || check(&["--tls-certificate", certificate, "--tls-key", key]);

    files.renew();
    assert_eq!(checked(), (Some(0), String::new()));
    let one = check(&["--tls-certificate", certificate]);
    let message = "--tls-key: needed by --tls-certificate";
    assert_eq!(one, (Some(2), message.to_owned()));
    let one = check(&["--tls-key", key]);
    let message = "--tls-certificate: needed by --tls-key";
    assert_eq!(one, (Some(2), message.to_owned()));

    fs::write(&files.key, pair().signing_key.serialize_pem()).unwrap();
    let message = "--tls-key: does not fit the certificate";
    assert_eq!(checked(), (Some(2), message.to_owned()));

    fs::write(&files.certificate, "words").unwrap();
    fs::write(&files.key, "words").unwrap();
    let message = "--tls-certificate: holds no certificate in PEM form\n\
                   --tls-key: holds no private key in PEM form";
    assert_eq!(checked(), (Some(2), message.to_owned()));

    fs::remove_file(&files.certificate).unwrap();
    fs::remove_file(&files.key).unwrap();
    let absent = "No such file or directory (os error 2)";
    let message = format!(
        "--tls-certificate: cannot read {certificate}: {absent}\n\
         --tls-key: cannot read {key}: {absent}"
    );
    assert_eq!(checked(), (Some(2), message));
}

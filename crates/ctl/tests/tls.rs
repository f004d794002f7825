//! Commands of `marigoldctl` against a router that serves over TLS.

#![allow(clippy::unwrap_used)]

use {
    marigoldroute::Settings,
    marigoldroute_core::config::hash_key,
    marigoldroute_store::StandIn as Platform,
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Command, Output},
    },
};

const KEY: &str = "key-of-the-operator";

async fn run(url: &str, trusted: Option<&Path>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldctl"));
    command.env_clear().args(["budgets", "list"]);
    command.args(["--url", url, "--key", KEY]);
    if let Some(path) = trusted {
        command.env("MARIGOLDCTL_CA_CERTIFICATE", path);
    }
    let output = tokio::task::spawn_blocking(move || command.output());
    output.await.unwrap().unwrap()
}

/// Guards against a certificate that is accepted although nobody vouches for it, and against a
/// file of CA certificates that is not used.
#[tokio::test(flavor = "multi_thread")]
async fn only_a_certificate_of_a_trusted_authority_is_accepted() {
    let folder: PathBuf = env!("CARGO_TARGET_TMPDIR").into();
    let file = |name: &str| folder.join(format!("ctl-tls-{name}.pem"));
    let pair = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
    let other = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
    fs::write(file("chain"), pair.cert.pem()).unwrap();
    fs::write(file("key"), pair.signing_key.serialize_pem()).unwrap();
    fs::write(file("other"), other.cert.pem()).unwrap();
    fs::write(file("words"), "words").unwrap();

    let local: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (platform, serve) = Platform::default().bind(local).await.unwrap();
    tokio::spawn(serve);
    let settings = Settings {
        host: "router-1".into(),
        listen: local,
        listen_peers: local,
        platform: format!("http://{platform}").into(),
        fleet_keys: vec!["a-fleet-key-for-the-tests".into()],
        admin_key_hash: Some(hash_key(KEY).into()),
        tls_certificate: Some(file("chain").into()),
        tls_key: Some(file("key").into()),
        ..Settings::default()
    };
    let router = marigoldroute::start(settings).await.unwrap();
    let url = format!("https://{}", router.address());

    let trusted = run(&url, Some(&file("chain"))).await;
    assert_eq!(trusted.status.code(), Some(0), "{trusted:?}");
    for (authorities, code) in [("other", 6), ("words", 1), ("absent", 1)] {
        let output = run(&url, Some(&file(authorities))).await;
        assert_eq!(
            output.status.code(),
            Some(code),
            "{authorities}: {output:?}"
        );
        assert!(output.stdout.is_empty(), "{authorities}");
    }
    let system = run(&url, None).await;
    assert_ne!(system.status.code(), Some(0), "{system:?}");
}

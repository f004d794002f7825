//! Tests of connections that arrive before the first configuration.

use {
    super::secure,
    futures_util::stream,
    marigoldroute_store::listen,
    poem::listener::{Acceptor, RustlsCertificate, RustlsConfig},
    std::net::SocketAddr,
    tokio::net::TcpStream,
};

/// Rounds; without the guaranteed order, each fails with a probability of one half.
const ROUNDS: usize = 64;

/// Guards against a first connection that is closed because the listener reads the configuration
/// after it.
#[tokio::test]
async fn a_connection_before_the_first_configuration_is_accepted() {
    let pair = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
    let config = || {
        let certificate = RustlsCertificate::new().cert(pair.cert.pem());
        RustlsConfig::new().fallback(certificate.key(pair.signing_key.serialize_pem()))
    };
    for _ in 0..ROUNDS {
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (acceptor, address) = listen(local).unwrap();
        // By the time the connection is established, the listener can accept it.
        let _waiting = TcpStream::connect(address).await.unwrap();
        let mut acceptor = secure(acceptor, stream::iter([config()]));
        assert!(acceptor.accept().await.is_ok());
    }
}

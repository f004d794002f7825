use {
    super::run,
    std::{cell::Cell, net::TcpStream},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// Connections that wait to be accepted.
const CONNECTIONS: usize = 20;

/// Guards against the reset of connections that were established but not accepted yet when a
/// planned stop begins.
#[tokio::test]
async fn connections_in_the_backlog_are_accepted_before_a_stop() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connect = |_| TcpStream::connect(address).expect("connects");
    let _callers: Vec<_> = (0..CONNECTIONS).map(connect).collect();
    let stop = CancellationToken::new();
    stop.cancel();
    let started = Cell::new(0);
    run(listener, |_| started.set(started.get() + 1), stop).await;
    assert_eq!(started.get(), CONNECTIONS);
}

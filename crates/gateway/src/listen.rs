//! Listening sockets.

use {
    anyhow::Context,
    poem::listener::TcpAcceptor,
    std::net::SocketAddr,
    tokio::net::{TcpListener, TcpSocket},
};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds an address for the server of readiness and metrics.
pub(crate) fn acceptor(address: SocketAddr) -> anyhow::Result<(TcpAcceptor, SocketAddr)> {
    let (listener, bound) = listen(address)?;
    Ok((TcpAcceptor::from_tokio(listener)?, bound))
}

/// Binds an address. Accepted connections send small writes at once: with Nagle's algorithm an
/// event would wait for the acknowledgement of the one before.
pub(crate) fn listen(address: SocketAddr) -> anyhow::Result<(TcpListener, SocketAddr)> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket
        .bind(address)
        .with_context(|| format!("bind {address}"))?;
    let listener = socket.listen(BACKLOG).context("listen")?;
    let bound = listener.local_addr().context("read the bound address")?;
    Ok((listener, bound))
}

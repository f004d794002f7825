//! Listening sockets.

use {anyhow::Context, poem::listener::TcpAcceptor, std::net::SocketAddr, tokio::net::TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds an address. Accepted connections send small writes at once: with Nagle's algorithm an
/// event would wait for the acknowledgement of the one before.
pub(crate) fn listen(address: SocketAddr) -> anyhow::Result<(TcpAcceptor, SocketAddr)> {
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
    Ok((TcpAcceptor::from_tokio(listener)?, bound))
}

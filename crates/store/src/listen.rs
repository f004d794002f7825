//! Listening sockets for HTTP servers.

use {
    anyhow::Context,
    poem::{Endpoint, Server, listener::TcpAcceptor},
    std::net::SocketAddr,
    tokio::net::{TcpListener, TcpSocket},
};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds an address; returns the acceptor and the bound address.
///
/// Accepted connections send small writes at once: with Nagle's algorithm the second chunk of a
/// response waits for the caller's delayed acknowledgement, about 40 ms.
///
/// # Errors
/// When the address cannot be bound.
pub fn listen(address: SocketAddr) -> anyhow::Result<(TcpAcceptor, SocketAddr)> {
    let listener = open(address).with_context(|| format!("bind {address}"))?;
    let bound = listener.local_addr().context("read the bound address")?;
    Ok((TcpAcceptor::from_tokio(listener)?, bound))
}

/// Binds an address and serves `routes` until the returned future is dropped; also returns the
/// bound address. `name` is for the log.
///
/// # Errors
/// When the address cannot be bound.
pub fn serve(
    name: &'static str,
    address: SocketAddr,
    routes: impl Endpoint + 'static,
) -> anyhow::Result<(SocketAddr, impl Future<Output = ()> + Send)> {
    let (acceptor, address) = listen(address)?;
    let server = Server::new_with_acceptor(acceptor);
    let serve = async move {
        if let Err(error) = server.run(routes).await {
            log::error!("{name} stopped: {error}");
        }
    };
    Ok((address, serve))
}

fn open(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the option.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

//! Listening sockets for HTTP servers.

use {
    anyhow::Context,
    poem::{Endpoint, Server, listener::TcpAcceptor},
    std::net::SocketAddr,
};

/// Binds an address; returns the acceptor and the bound address, which has the actual port when
/// `address` has port 0.
///
/// # Errors
/// When the address cannot be bound.
pub fn listen(address: SocketAddr) -> anyhow::Result<(TcpAcceptor, SocketAddr)> {
    let listener =
        marigoldroute_process::listen(address).with_context(|| format!("bind {address}"))?;
    let bound = listener.local_addr().context("read the bound address")?;
    Ok((TcpAcceptor::from_tokio(listener)?, bound))
}

/// Binds an address and serves `routes` until the returned future is dropped; also returns the
/// bound address. `name` is the server's name in the log.
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

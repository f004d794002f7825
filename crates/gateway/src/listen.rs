//! Listening sockets.

use {anyhow::Context, poem::listener::TcpAcceptor, std::net::SocketAddr, tokio::net::TcpListener};

/// Binds an address for a poem server; also returns the bound address.
pub(crate) fn acceptor(address: SocketAddr) -> anyhow::Result<(TcpAcceptor, SocketAddr)> {
    let (listener, bound) = listen(address)?;
    Ok((TcpAcceptor::from_tokio(listener)?, bound))
}

/// Binds an address; also returns the bound address, whose port differs if 0 was asked for.
pub(crate) fn listen(address: SocketAddr) -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = marigoldroute_process::listen(address);
    let listener = listener.with_context(|| format!("bind {address}"))?;
    let bound = listener.local_addr().context("read the bound address")?;
    Ok((listener, bound))
}

//! Listening sockets.

use {anyhow::Context, std::net::SocketAddr, tokio::net::TcpListener};

/// Binds an address; also returns the bound address, whose port differs if 0 was asked for.
pub(crate) fn listen(address: SocketAddr) -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = marigoldroute_process::listen(address);
    let listener = listener.with_context(|| format!("bind {address}"))?;
    let bound = listener.local_addr().context("read the bound address")?;
    Ok((listener, bound))
}

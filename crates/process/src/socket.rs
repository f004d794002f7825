//! Listening TCP sockets.

use {
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpSocket},
};

/// Established connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1_024;

/// Binds an address and listens. Accepted connections have `TCP_NODELAY` set: with Nagle's
/// algorithm the second part of an answer waits for the peer's delayed acknowledgement, about 40
/// ms.
///
/// # Errors
/// When the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
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

//! The internal protocol between hosts.

mod link;
mod server;

pub(crate) use {
    link::{Links, Lost},
    server::{Listener, Service},
};

//! Connections of the internal protocol between hosts.

mod link;
mod server;

pub(crate) use {
    link::{Links, Unanswered},
    server::{Listener, Service},
};

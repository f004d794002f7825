//! Messages about parts of prompts that crash upstreams.

use {
    super::{Endpoint, Peers},
    crate::{quarantine::Notice, view::lock},
    marigoldroute_core::{
        quarantine::{self, Audience},
        wire::{Body, Parts},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Limit of parts of prompts in a datagram.
const DATAGRAM_PARTS: usize = 4;
/// Pause between two sendings of the same notice about a part of prompts.
const NOTICE_PAUSE: Duration = Duration::from_millis(60);

impl Peers {
    /// Tells other hosts about parts of prompts that crash upstreams.
    pub(super) async fn publish_parts(&self) {
        loop {
            self.quarantine.outbox_filled.notified().await;
            loop {
                let (notices, has_more) = self.quarantine.take_notices();
                self.send_notices(&notices).await;
                if !has_more {
                    break;
                }
                let filled = self.quarantine.outbox_filled.notified();
                // New notices go out at once, with the others.
                let _ = tokio::time::timeout(NOTICE_PAUSE, filled).await;
            }
        }
    }

    async fn send_notices(&self, notices: &[Notice]) {
        let endpoints = lock(&self.endpoints).clone();
        let (for_all, for_judges): (Vec<_>, Vec<_>) = notices
            .iter()
            .partition(|notice| notice.audience == Audience::All);
        for chunk in for_all.chunks(DATAGRAM_PARTS) {
            let message = self.quarantine.message(chunk);
            self.send_parts(message, endpoints.values()).await;
        }
        for notice in for_judges {
            let mut judges: Vec<_> = endpoints.keys().cloned().collect();
            quarantine::judges(notice.part, &mut judges);
            let message = self.quarantine.message(&[notice]);
            let endpoints = judges.iter().filter_map(|host| endpoints.get(host));
            self.send_parts(message, endpoints).await;
        }
    }

    async fn send_parts(&self, message: Parts, to: impl Iterator<Item = &Endpoint>) {
        if let Some(bytes) = self.encode("", 0, Body::Parts(message)) {
            for endpoint in to {
                self.send_bytes(endpoint.address, &bytes).await;
            }
        }
    }

    /// Applies a message of another host, and tells that host which of its accusations are wrong.
    pub(super) fn learn_parts(self: &Arc<Self>, parts: &Parts, address: SocketAddr, from: &str) {
        let sound = self.quarantine.learn(from, parts);
        if sound.is_empty() {
            return;
        }
        let (peers, from) = (self.clone(), from.to_owned());
        tokio::spawn(async move {
            let suspects = Vec::new();
            let body = Body::Parts(Parts { suspects, sound });
            peers.send_frame(address, &from, 0, body).await;
        });
    }
}

//! Messages about changes of the list of upstreams.

use {
    super::Peers,
    crate::view::lock,
    marigoldroute_core::{
        forward::feed::ASK_INTERVAL,
        wire::{Body, Follow},
    },
    std::{net::SocketAddr, sync::Arc},
};

impl Peers {
    /// Asks the reader of this host's group for changes of the list.
    pub(super) async fn follow_list(&self) {
        loop {
            if let Some((reader, follow)) = self.feed.ask() {
                self.send_to_process(&reader, Body::Follow(follow)).await;
            }
            // The reader is asked again at once when it has more to tell.
            let _ = tokio::time::timeout(ASK_INTERVAL, self.feed.incomplete.notified()).await;
        }
    }

    /// Tells the followers of this host what has changed in the list.
    pub(super) async fn publish_list(&self) {
        loop {
            self.feed.recorded.notified().await;
            for (follower, news) in self.feed.publish() {
                self.send_to_process(&follower, Body::News(news)).await;
            }
        }
    }

    async fn send_to_process(&self, process: &str, body: Body) {
        let endpoint = {
            let endpoints = lock(&self.endpoints);
            let mut endpoints = endpoints.values();
            endpoints
                .find(|endpoint| *endpoint.process == *process)
                .cloned()
        };
        if let Some(endpoint) = endpoint {
            self.send(&endpoint, 0, body).await;
        }
    }

    /// Answers a host that follows this one or wants to.
    pub(super) fn answer_follow(self: &Arc<Self>, follow: &Follow, to: SocketAddr, from: &str) {
        let news = self.feed.answer(from, follow);
        let (peers, from) = (self.clone(), from.to_owned());
        tokio::spawn(async move { peers.send_frame(to, &from, 0, Body::News(news)).await });
    }
}

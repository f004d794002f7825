//! Detection of callers that do not read.

use {
    crate::{Clock, view::lock},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// When a connection last stopped taking bytes; `None` while nothing waits to be written.
#[derive(Clone, Debug, Default)]
pub(super) struct Blockage(Arc<Mutex<Option<Duration>>>);

impl Blockage {
    /// Returns since when bytes have been waiting.
    pub(super) fn since(&self) -> Option<Duration> {
        *lock(&self.0)
    }
}

/// A connection that records when it stops taking bytes.
pub(super) struct Watched<T> {
    stream: T,
    clock: Clock,
    blockage: Blockage,
}

impl<T> Watched<T> {
    pub(super) fn new(stream: T, clock: Clock) -> Self {
        let blockage = Blockage::default();
        Self {
            stream,
            clock,
            blockage,
        }
    }

    pub(super) fn blockage(&self) -> Blockage {
        self.blockage.clone()
    }

    fn record<U>(&self, written: Poll<U>) -> Poll<U> {
        let mut since = lock(&self.blockage.0);
        match written {
            Poll::Ready(_) => *since = None,
            Poll::Pending => {
                since.get_or_insert_with(|| self.clock.now());
            }
        }
        written
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Watched<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

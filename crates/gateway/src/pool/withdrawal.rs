//! Evidence of whether a request that was given up had begun to run.
//!
//! A run begins with its first token, and the head of its response is sent with it. An upstream
//! drops a request whose connection closes. Therefore a withdrawn request closes its connection for
//! writing only and reads on: when the upstream ends the connection without having sent a byte, the
//! request has not run and will not.

use {
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::TcpStream,
        sync::oneshot,
    },
};

/// Time that an upstream has to end the connection of a withdrawn request.
const OBSERVATION_LIMIT: Duration = Duration::from_millis(200);

/// Receives the observation of a [`Witness`].
#[derive(Debug)]
pub(crate) struct Evidence(oneshot::Receiver<()>);

/// Reports that a request has certainly not begun to run. Dropped without a report, the request may
/// have run.
#[derive(Debug)]
pub(crate) struct Witness(oneshot::Sender<()>);

impl Witness {
    /// Returns a witness of a request and the evidence that it gives.
    pub(crate) fn new() -> (Self, Evidence) {
        let (sender, receiver) = oneshot::channel();
        (Self(sender), Evidence(receiver))
    }
}

impl Evidence {
    /// Returns whether the request has certainly not begun to run; `None` while that is unknown.
    pub(crate) fn now(&mut self) -> Option<bool> {
        match self.0.try_recv() {
            Ok(()) => Some(true),
            Err(oneshot::error::TryRecvError::Closed) => Some(false),
            Err(oneshot::error::TryRecvError::Empty) => None,
        }
    }

    /// Waits until it is known whether the request has certainly not begun to run.
    pub(crate) async fn wait(self) -> bool {
        self.0.await.is_ok()
    }
}

/// A request that was given up before the head of its response had arrived.
#[derive(Debug)]
pub(super) struct Withdrawal {
    pub(super) witness: Witness,
    /// Bytes that the connection had received when the request was sent.
    pub(super) received: u64,
}

impl Withdrawal {
    /// Closes the connection for writing, and reports when the upstream ends it without an answer.
    pub(super) async fn observe(self, mut io: Metered) {
        if io.received.load(Ordering::Relaxed) != self.received || io.shutdown().await.is_err() {
            return;
        }
        let mut byte = [0];
        let read = tokio::time::timeout(OBSERVATION_LIMIT, io.read(&mut byte)).await;
        if let Ok(Ok(0)) = read {
            // The reservation may have ended meanwhile.
            let _ = self.witness.0.send(());
        }
    }
}

/// A connection that counts the bytes that it receives.
#[derive(Debug)]
pub(super) struct Metered {
    stream: TcpStream,
    received: Arc<AtomicU64>,
}

impl Metered {
    pub(super) fn new(stream: TcpStream, received: Arc<AtomicU64>) -> Self {
        Self { stream, received }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = (buffer.filled().len() - before) as u64;
        self.received.fetch_add(count, Ordering::Relaxed);
        poll
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

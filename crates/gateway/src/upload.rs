//! Whether a request has been written to its connection.

use {
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Progress of the request that a connection writes.
#[derive(Debug, Default)]
pub(crate) struct Upload {
    /// Whether the HTTP client has taken the whole body.
    is_taken: AtomicBool,
    /// Whether all that was taken has been written since.
    is_written: AtomicBool,
}

impl Upload {
    /// Begins another request.
    pub(crate) fn begin(&self, is_empty: bool) {
        self.is_taken.store(is_empty, Ordering::Release);
        self.is_written.store(false, Ordering::Release);
    }

    pub(crate) fn record_taken(&self) {
        self.is_taken.store(true, Ordering::Release);
    }

    /// Records that nothing is left to write of what was taken.
    fn record_flush(&self) {
        if self.is_taken.load(Ordering::Acquire) {
            self.is_written.store(true, Ordering::Release);
        }
    }

    pub(crate) fn is_written(&self) -> bool {
        self.is_written.load(Ordering::Acquire)
    }
}

/// A stream that records when a request has been written. The HTTP client flushes it only after it
/// has written all that it had taken.
#[derive(Debug)]
pub(crate) struct Tracked {
    stream: TcpStream,
    upload: Arc<Upload>,
}

impl Tracked {
    pub(crate) fn new(stream: TcpStream, upload: Arc<Upload>) -> Self {
        Self { stream, upload }
    }
}

impl AsyncRead for Tracked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Tracked {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    /// Without this, the HTTP client would copy each body.
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.upload.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

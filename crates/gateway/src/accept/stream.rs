//! Socket of a caller's connection.

use {
    super::Activity,
    crate::{Clock, view::lock},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that are read at a time. The HTTP library enlarges the buffer of a connection after reads
/// that fill its smallest one, of 8 KiB.
const READ_BYTES: usize = (8 << 10) - 1;
/// Longest time to read what a caller still sends after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Most bytes that are read then.
const LINGER_LIMIT_BYTES: usize = 16 << 20;
/// Bytes that are read at a time then.
const LINGER_BUFFER_BYTES: usize = 4 << 10;

/// A socket that records in the activity of its connection when a head begins and whether writes
/// wait for the caller.
pub(super) struct Watched {
    stream: TcpStream,
    clock: Clock,
    activity: Arc<Mutex<Activity>>,
}

impl Watched {
    pub(super) fn new(stream: TcpStream, clock: Clock, activity: Arc<Mutex<Activity>>) -> Self {
        Self {
            stream,
            clock,
            activity,
        }
    }

    fn record_write<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let now = self.clock.now();
        lock(&self.activity).record_write(written.is_pending(), now);
        written
    }

    /// Closes the connection after these last bytes. The rest of what the caller sends is read, since
    /// a reset could lose the response.
    pub(super) async fn close(mut self, last: &[u8]) {
        let close = async {
            self.stream.write_all(last).await?;
            self.stream.shutdown().await?;
            let (mut buffer, mut left) = (vec![0; LINGER_BUFFER_BYTES], LINGER_LIMIT_BYTES);
            loop {
                match self.stream.read(&mut buffer).await? {
                    0 => return Ok::<_, io::Error>(()),
                    bytes => left = left.saturating_sub(bytes),
                }
                if left == 0 {
                    return Ok(());
                }
            }
        };
        match tokio::time::timeout(LINGER_TIMEOUT, close).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!("connection lost after its last response: {error}"),
            Err(_) => log::debug!("connection closed while its caller still sent"),
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        if read > 0 {
            let now = self.clock.now();
            lock(&self.activity).record_bytes(now);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written everything.
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        lock(&self.activity).record_flush();
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

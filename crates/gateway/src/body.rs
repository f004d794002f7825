//! Bodies of callers' requests, and the memory that they take together.

mod readings;
#[cfg(test)]
mod tests;

use {
    self::readings::{Entry, Readings},
    crate::{error::Error, view::lock},
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        mem,
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        sync::{AcquireError, OwnedSemaphorePermit, Semaphore, TryAcquireError},
        time::Instant,
    },
};

/// Granularity of the accounting: one semaphore permit stands for this many bytes.
const UNIT_BYTES: usize = 1 << 10;
/// Largest body for which a part of the memory is set aside.
const SMALL_BYTES: usize = 128 << 10;
/// The memory divided by this is set aside for small bodies.
const SMALL_DIVISOR: usize = 4;
/// Memory taken first for a body that does not state its length.
const FIRST_BYTES: usize = 16 << 10;
/// Longest wait of a body for memory, shorter than the time after which callers give up a request
/// that is not read.
const WAIT_LIMIT: Duration = Duration::from_millis(500);
/// Part of the time that the caller waits for its response which may pass in a wait for memory.
const WAIT_DIVISOR: u32 = 4;

/// Time between two searches for bodies that stand still while one waits for memory.
const CUT_INTERVAL: Duration = Duration::from_millis(100);
/// The common memory divided by this is what is left when it counts as short.
const SHORT_DIVISOR: usize = 8;

/// Body of a caller's request.
pub(crate) trait RequestBody: Body<Data = Bytes, Error = hyper::Error> {}

impl<B: Body<Data = Bytes, Error = hyper::Error>> RequestBody for B {}

/// A body whose bytes are counted as they arrive.
pub(crate) struct Counted<B, F> {
    body: B,
    count: F,
    /// Whether it was asked for bytes, on which hyper sends the interim response.
    pub(crate) was_polled: bool,
}

impl<B, F: Fn(usize)> Counted<B, F> {
    /// Passes the size of each piece of a body to `count`.
    pub(crate) fn new(body: B, count: F) -> Self {
        Self {
            body,
            count,
            was_polled: false,
        }
    }
}

impl<B: RequestBody + Unpin, F: Fn(usize) + Unpin> Body for Counted<B, F> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        self.was_polled = true;
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            (self.count)(frame.data_ref().map_or(0, Bytes::len));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Quota of memory that the bodies of all requests share. Each gets its memory in the order of
/// arrival; small ones do not wait for large ones.
#[derive(Clone, Debug)]
pub(crate) struct Quota {
    common: Arc<Semaphore>,
    small: Arc<Semaphore>,
    /// Units of `common`, taken or not.
    common_units: usize,
    readings: Readings,
    /// Time without bytes after which a body is given up.
    stall: Duration,
}

impl Quota {
    /// Creates a quota; it is rounded down to whole units.
    pub(crate) fn new(bytes: usize) -> Self {
        let units = (bytes / UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        let small = units / SMALL_DIVISOR;
        Self {
            common: Arc::new(Semaphore::new(units - small)),
            small: Arc::new(Semaphore::new(small)),
            common_units: units - small,
            readings: Readings::default(),
            stall: Duration::MAX,
        }
    }

    /// Sets the time without bytes after which a body is given up.
    pub(crate) fn with_stall(self, stall: Duration) -> Self {
        Self { stall, ..self }
    }

    /// Returns the memory that is left, in bytes.
    pub(crate) fn left(&self) -> usize {
        (self.common.available_permits() + self.small.available_permits()) * UNIT_BYTES
    }

    /// Returns whether little memory is left for bodies that are not small.
    pub(crate) fn is_short(&self) -> bool {
        self.common.available_permits() < self.common_units / SHORT_DIVISOR
    }

    /// Reads a body of at most `limit` bytes whose caller waits for the response for `timeout`. The
    /// memory returns to the quota when the last clone of the body is dropped.
    ///
    /// # Errors
    /// [`Error::TooLarge`], [`Error::Incomplete`], [`Error::OutOfMemory`], and [`Error::Late`] for a
    /// body that stands still, at once while others wait for its memory.
    pub(crate) async fn read(
        &self,
        body: &mut (impl RequestBody + Unpin),
        limit: usize,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let length = body.size_hint().exact();
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length == Some(0) {
            return Ok(Bytes::new());
        }
        let mut body = Limited::new(body, limit);
        let reading = self.readings.enter();
        let mut held = Held::new(self, timeout);
        match length {
            Some(length) if length > limit => {}
            Some(length) => held.grow(length).await?,
            None => held.grow(FIRST_BYTES.min(limit)).await?,
        }
        reading.record(0, held.size);
        while let Some(frame) = self.next(&mut body, &reading).await? {
            let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
                true => Error::TooLarge,
                false => Error::Incomplete,
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if length.is_some_and(|length| length > limit) {
                return Err(Error::TooLarge);
            }
            held.extend(&data, limit).await?;
            reading.record(data.len(), held.size);
        }
        Ok(held.into_bytes())
    }

    /// Returns the next piece of a body, or `None` at its end.
    ///
    /// # Errors
    /// [`Error::Late`] when it stands still.
    async fn next<B: Body + Unpin>(
        &self,
        body: &mut B,
        reading: &Entry,
    ) -> Result<Option<Result<Frame<B::Data>, B::Error>>, Error> {
        tokio::select! {
            biased;
            frame = body.frame() => Ok(frame),
            () = reading.cut() => Err(Error::Late),
            () = tokio::time::sleep(self.stall) => Err(Error::Late),
        }
    }
}

/// The part of a body that has arrived, in memory that it has taken from the quota.
struct Held<'a> {
    quota: &'a Quota,
    bytes: BytesMut,
    /// Size of the memory that was taken.
    size: usize,
    permits: Vec<OwnedSemaphorePermit>,
    /// Time for which the body may still wait for memory.
    wait: Duration,
}

impl<'a> Held<'a> {
    fn new(quota: &'a Quota, timeout: Duration) -> Self {
        Self {
            quota,
            bytes: BytesMut::new(),
            size: 0,
            permits: Vec::new(),
            wait: WAIT_LIMIT.min(timeout / WAIT_DIVISOR),
        }
    }

    /// Adds bytes; the frame that they came in would keep a whole read buffer alive.
    async fn extend(&mut self, data: &[u8], limit: usize) -> Result<(), Error> {
        let wanted = self.bytes.len() + data.len();
        if wanted > self.size {
            self.grow(wanted.max(self.size * 2).min(limit)).await?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Takes memory until the body has this size, waiting while there is too little.
    async fn grow(&mut self, size: usize) -> Result<(), Error> {
        let units = size.div_ceil(UNIT_BYTES) - self.size.div_ceil(UNIT_BYTES);
        let more = u32::try_from(units).map_err(|_| Error::OutOfMemory)?;
        let permit = match self.quota.common.clone().try_acquire_many_owned(more) {
            Ok(permit) => permit,
            Err(TryAcquireError::NoPermits) => self.wait_for(more, size).await?,
            Err(TryAcquireError::Closed) => return Err(Error::OutOfMemory),
        };
        self.permits.push(permit);
        self.bytes.reserve(size - self.bytes.len());
        self.size = size;
        Ok(())
    }

    async fn wait_for(&mut self, units: u32, size: usize) -> Result<OwnedSemaphorePermit, Error> {
        let is_small = size <= SMALL_BYTES;
        if !is_small && units as usize > self.quota.common_units {
            return Err(Error::OutOfMemory);
        }
        let source = if is_small {
            &self.quota.small
        } else {
            &self.quota.common
        };
        let started = Instant::now();
        let acquired = source.clone().acquire_many_owned(units);
        let readings = &self.quota.readings;
        let free_stalled = async {
            loop {
                readings.cut_stalled(units as usize * UNIT_BYTES);
                tokio::time::sleep(CUT_INTERVAL).await;
            }
        };
        let acquired = async {
            tokio::select! {
                biased;
                acquired = acquired => acquired,
                () = free_stalled => std::future::pending().await,
            }
        };
        let acquired = tokio::time::timeout(self.wait, acquired).await;
        self.wait = self.wait.saturating_sub(started.elapsed());
        let acquired = acquired.map_err(|_| Error::OutOfMemory)?;
        acquired.map_err(|_: AcquireError| Error::OutOfMemory)
    }

    fn into_bytes(self) -> Bytes {
        Bytes::from_owner(Owner {
            bytes: self.bytes,
            _permits: self.permits,
        })
    }
}

/// A complete body with the memory that it has taken from the quota.
struct Owner {
    bytes: BytesMut,
    _permits: Vec<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Body of a request that its attempts send.
#[derive(Debug)]
pub(crate) struct Source {
    /// Empty once the body has been let go.
    bytes: Arc<Mutex<Bytes>>,
    length: usize,
}

impl From<Bytes> for Source {
    fn from(bytes: Bytes) -> Self {
        Self {
            length: bytes.len(),
            bytes: Arc::new(Mutex::new(bytes)),
        }
    }
}

impl Source {
    /// Returns the body for an attempt. The last one takes it once it begins to send it, so that its
    /// memory returns when it has been written.
    pub(crate) fn attempt(&self, is_last: bool) -> Outgoing {
        Outgoing {
            bytes: self.bytes.clone(),
            length: self.length,
            is_last,
        }
    }

    /// Lets the body go, since no other attempt will send it.
    pub(crate) fn release(&self) {
        lock(&self.bytes).clear();
    }
}

/// Body of one attempt.
#[derive(Debug)]
pub(crate) struct Outgoing {
    bytes: Arc<Mutex<Bytes>>,
    /// Bytes that have not been passed on.
    length: usize,
    is_last: bool,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.is_end_stream() {
            return Poll::Ready(None);
        }
        self.length = 0;
        let mut bytes = lock(&self.bytes);
        let bytes = match self.is_last {
            true => mem::take(&mut *bytes),
            false => bytes.clone(),
        };
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.length == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}

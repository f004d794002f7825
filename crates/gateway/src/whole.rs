//! Whole bodies of responses.

use {
    crate::{
        frontend::Body,
        memory::{Exceeded, Permit},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::{Frame, SizeHint},
    std::{
        collections::VecDeque,
        io, mem,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Largest block of a body.
const BLOCK_BYTES: usize = 64 << 10;

/// Bytes of a response with the permit for their memory.
struct Permitted {
    bytes: Bytes,
    _permit: Arc<Permit>,
}

impl AsRef<[u8]> for Permitted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that keep their memory permit until they have been sent or dropped.
pub(crate) fn permitted(bytes: Bytes, permit: Arc<Permit>) -> Bytes {
    Bytes::from_owner(Permitted {
        bytes,
        _permit: permit,
    })
}

/// A body that is read to its end before it is sent. It is kept in blocks, as a buffer that grows
/// exists twice while it is copied.
#[derive(Debug)]
pub(crate) struct Whole {
    full: VecDeque<Bytes>,
    /// The last block, which has room.
    last: BytesMut,
    length: usize,
    /// Memory of all blocks.
    capacity: usize,
    permit: Permit,
}

impl Whole {
    /// Returns an empty body; `permit` grows with it.
    pub(crate) fn new(permit: Permit) -> Self {
        Self {
            full: VecDeque::new(),
            last: BytesMut::new(),
            length: 0,
            capacity: 0,
            permit,
        }
    }

    /// Returns the length in bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Adds bytes at the end.
    ///
    /// # Errors
    /// When the quota has too little memory left.
    pub(crate) fn push(&mut self, mut data: Bytes) -> Result<(), Exceeded> {
        self.length += data.len();
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                let size = self.length.min(BLOCK_BYTES);
                self.permit.resize(self.capacity + size)?;
                self.capacity += size;
                let full = mem::replace(&mut self.last, BytesMut::with_capacity(size));
                self.full.push_back(full.freeze());
            }
            let room = self.last.capacity() - self.last.len();
            let fitting = data.split_to(room.min(data.len()));
            self.last.extend_from_slice(&fitting);
        }
        Ok(())
    }

    /// Returns the body to send, whose length is the lower bound of its size hint.
    pub(crate) fn into_body(mut self) -> Body {
        self.full.push_back(self.last.freeze());
        let permit = Arc::new(self.permit);
        let blocks = self.full.into_iter().filter(|block| !block.is_empty());
        let blocks = blocks.map(|block| permitted(block, permit.clone()));
        let blocks = Blocks {
            blocks: blocks.collect(),
            left: self.length as u64,
        };
        blocks.boxed_unsync()
    }
}

/// Blocks of a body on their way to the caller.
struct Blocks {
    blocks: VecDeque<Bytes>,
    /// Length of the blocks.
    left: u64,
}

impl hyper::body::Body for Blocks {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let block = self.blocks.pop_front();
        self.left -= block.as_ref().map_or(0, Bytes::len) as u64;
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        // With an upper bound, hyper would state the length in place of chunks.
        let mut hint = SizeHint::new();
        hint.set_lower(self.left);
        hint
    }
}

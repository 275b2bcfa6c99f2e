//! Bodies: whole, or too long to be kept and passed on as they come, a frame at a time. Whoever reads sets the
//! pace of whoever writes.
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::pending;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Bytes of a body that are kept; a longer one flows.
pub(crate) const BUFFERED_BODY_LIMIT: usize = 64 << 10;
/// Bytes of a body at most.
pub(crate) const BODY_LIMIT: u64 = 32 << 20;

/// A body that does not come to its end.
#[derive(Debug)]
pub(crate) struct BodyTruncated;

impl fmt::Display for BodyTruncated {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("the body was cut off")
    }
}

impl std::error::Error for BodyTruncated {}

/// How far a long request has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReceivedPart {
    Flows,
    Whole(Instant),
    TooLong,
    Broken,
}

/// A request that is too long to be kept. One pick at a time reads what comes behind its first part.
pub(crate) struct RequestUpload {
    first: RefCell<Bytes>, // until more has gone out
    rest: RefCell<Incoming>,
    length: Option<u64>, // of all of it, if it was told
    bytes: Cell<u64>,    // so far
    come: watch::Sender<ReceivedPart>,
    spent: Cell<bool>,
    taken: Cell<bool>,
    hungry: Cell<bool>,
}

impl RequestUpload {
    pub(crate) fn new(first: Bytes, rest: Incoming) -> Rc<Self> {
        let length = rest
            .size_hint()
            .exact()
            .map(|left| left + first.len() as u64);
        let bytes = Cell::new(first.len() as u64);
        let (spent, taken, hungry) = Default::default();
        let (first, rest, come) = (
            first.into(),
            rest.into(),
            watch::Sender::new(ReceivedPart::Flows),
        );
        Rc::new(Self {
            first,
            rest,
            length,
            bytes,
            come,
            spent,
            taken,
            hungry,
        })
    }

    /// Something of it has gone out that is not kept: it can't be sent again.
    pub(crate) fn is_consumed(&self) -> bool {
        self.spent.get()
    }

    /// Its last byte has come, and was taken to be sent.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(*self.come.borrow(), ReceivedPart::Whole(_))
    }

    /// The client is waited for, not the backend.
    pub(crate) fn is_waiting_for_client(&self) -> bool {
        self.hungry.get()
    }

    /// Waits for its last byte, and tells when that came; for ever if it never does.
    pub(crate) async fn completed(&self) -> Instant {
        let mut come = self.come.subscribe();
        let come = come
            .wait_for(|come| matches!(come, ReceivedPart::Whole(_)))
            .await
            .map(|come| *come);
        match come {
            Ok(ReceivedPart::Whole(at)) => at,
            _ => pending().await,
        }
    }

    /// Waits until more has come than any request may hold; for ever if that never happens.
    pub(crate) async fn exceeded_limit(&self) {
        if self
            .come
            .subscribe()
            .wait_for(|come| *come == ReceivedPart::TooLong)
            .await
            .is_err()
        {
            pending().await
        }
    }

    fn poll_rest(&self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyTruncated>>> {
        let mut rest = self.rest.borrow_mut();
        let end = |come| {
            self.come.send_replace(come);
            Poll::Ready(if matches!(come, ReceivedPart::Whole(_)) {
                None
            } else {
                Some(Err(BodyTruncated))
            })
        };
        loop {
            let next = Pin::new(&mut *rest).poll_frame(cx);
            self.hungry.set(next.is_pending());
            let bytes = match ready!(next) {
                None => return end(ReceivedPart::Whole(Instant::now())),
                Some(Err(_)) => return end(ReceivedPart::Broken),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue, // trailers
                },
            };
            self.bytes.update(|sum| sum + bytes.len() as u64);
            if self.bytes.get() > BODY_LIMIT {
                return end(ReceivedPart::TooLong);
            }
            self.spent.set(true);
            self.first.take();
            if rest.is_end_stream() {
                self.come.send_replace(ReceivedPart::Whole(Instant::now()));
            }
            return Poll::Ready(Some(Ok(bytes)));
        }
    }
}

/// A request's body on its way to a backend.
pub(crate) enum RequestBody {
    Buffered(Full<Bytes>),
    Streamed {
        first: Option<Bytes>,
        upload: Rc<RequestUpload>,
        reads: bool,
    },
}

impl RequestBody {
    pub(crate) fn streamed(upload: &Rc<RequestUpload>) -> Self {
        Self::Streamed {
            first: Some(upload.first.borrow().clone()),
            upload: upload.clone(),
            reads: false,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        let (first, upload, reads) = match self.get_mut() {
            Self::Buffered(body) => {
                return Pin::new(body)
                    .poll_frame(cx)
                    .map_err(|never| match never {});
            }
            Self::Streamed {
                first,
                upload,
                reads,
            } => (first, upload, reads),
        };
        if let Some(first) = first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        // Guards against two picks that each send a part of it.
        if !*reads && upload.taken.replace(true) {
            return Poll::Ready(Some(Err(BodyTruncated)));
        }
        *reads = true;
        upload
            .poll_rest(cx)
            .map(|next| next.map(|bytes| bytes.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed { first, upload, .. } => first.is_none() && upload.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed { upload, .. } => {
                upload.length.map(SizeHint::with_exact).unwrap_or_default()
            }
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Self::Streamed {
            upload,
            reads: true,
            ..
        } = self
        {
            upload.taken.set(false);
        }
    }
}

/// The backend's end of a long answer; dropped before `end` it cuts the answer off.
pub(crate) struct BodySender {
    bytes: mpsc::Sender<Bytes>,
    ended: Rc<Cell<bool>>,
}

impl BodySender {
    /// Waits until the client takes it; false if that has gone.
    pub(crate) async fn send(&self, bytes: Bytes) -> bool {
        self.bytes.send(bytes).await.is_ok()
    }

    /// Waits until the client has gone.
    pub(crate) async fn closed(&self) {
        self.bytes.closed().await;
    }

    pub(crate) fn finish(self) {
        self.ended.set(true);
    }
}

/// The client's end of a long answer.
pub(crate) struct StreamedBody {
    first: Option<Bytes>,
    rest: mpsc::Receiver<Bytes>,
    length: Option<u64>,
    ended: Rc<Cell<bool>>,
}

/// Passes on an answer that begins like this, of this length if that is known.
pub(crate) fn streamed_body(first: Bytes, length: Option<u64>) -> (BodySender, StreamedBody) {
    let (bytes, rest) = mpsc::channel(1);
    let ended = Rc::<Cell<bool>>::default();
    (
        BodySender {
            bytes,
            ended: ended.clone(),
        },
        StreamedBody {
            first: Some(first).filter(|first| !first.is_empty()),
            rest,
            length,
            ended,
        },
    )
}

/// An answer's body on its way to a client; `given` is set with its last byte.
pub(crate) struct ResponseBody {
    body: Result<Full<Bytes>, StreamedBody>,
    given: Rc<Cell<bool>>,
}

impl ResponseBody {
    pub(crate) fn new(body: Result<Full<Bytes>, StreamedBody>) -> Self {
        let given = Rc::new(Cell::new(body.as_ref().is_ok_and(Body::is_end_stream)));
        Self { body, given }
    }

    pub(crate) fn given(&self) -> Rc<Cell<bool>> {
        self.given.clone()
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        let this = self.get_mut();
        let flow = match &mut this.body {
            Ok(body) => {
                this.given.set(true);
                return Pin::new(body)
                    .poll_frame(cx)
                    .map_err(|never| match never {});
            }
            Err(flow) => flow,
        };
        let next = match flow.first.take() {
            Some(first) => Some(first),
            None => ready!(flow.rest.poll_recv(cx)),
        };
        let Some(bytes) = next else {
            this.given.set(flow.ended.get());
            return Poll::Ready(if flow.ended.get() {
                None
            } else {
                Some(Err(BodyTruncated))
            });
        };
        flow.length = flow
            .length
            .map(|left| left.saturating_sub(bytes.len() as u64));
        this.given.set(flow.length == Some(0));
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            Ok(body) => body.is_end_stream(),
            Err(flow) => flow.length == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Ok(body) => body.size_hint(),
            Err(flow) => flow.length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

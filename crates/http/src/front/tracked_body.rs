//! A response body that tracks how far the client has taken it.

use super::client::{Client, State};
use super::events::Reason;
use crate::body::{BodyError, ResponseBody, StreamedBody};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// A response body that reports progress to its connection. Dropping it marks the response as done.
pub(super) struct TrackedBody {
    body: Inner,
    client: Rc<Client>,
}

enum Inner {
    /// The complete body.
    Whole(Full<Bytes>),
    /// A body that is still being received.
    Streamed(StreamedBody),
}

impl TrackedBody {
    pub(super) fn new(body: ResponseBody, client: Rc<Client>) -> Self {
        let body = match body {
            ResponseBody::Whole(bytes) => Inner::Whole(Full::new(bytes)),
            ResponseBody::Streamed(body) => {
                client.enter(State::Streaming);
                Inner::Streamed(body)
            }
        };
        TrackedBody { body, client }
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let me = self.get_mut();
        match &mut me.body {
            Inner::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Inner::Streamed(body) => {
                ready!(me.client.flush.poll_flushed(cx));
                me.client.record_progress();
                let frame = ready!(Pin::new(body).poll_frame(cx));
                match frame {
                    Some(Ok(_)) => me.client.flush.set_unwritten(),
                    Some(Err(_)) => me.client.record(Reason::AnswerCutOff),
                    None => {}
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            Inner::Whole(body) => body.is_end_stream(),
            Inner::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Inner::Whole(body) => body.size_hint(),
            Inner::Streamed(body) => body.size_hint(),
        }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.client.response_done();
    }
}

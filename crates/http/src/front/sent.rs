//! An answer's body on its way to the client.

use super::client::{Client, Stage};
use crate::body::{BodyError, Reply, StreamedBody};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// An answer's body on its way to the client. Dropping it is the answer's end.
pub(super) struct Sent {
    body: Answering,
    client: Rc<Client>,
}

enum Answering {
    /// All of it.
    Whole(Full<Bytes>),
    /// It still comes.
    Streamed(StreamedBody),
}

impl Sent {
    pub(super) fn new(reply: Reply, client: Rc<Client>) -> Self {
        let body = match reply {
            Reply::Whole(bytes) => Answering::Whole(Full::new(bytes)),
            Reply::Streamed(coming) => {
                client.enter(Stage::Passing);
                Answering::Streamed(coming)
            }
        };
        Sent { body, client }
    }
}

impl HttpBody for Sent {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let me = self.get_mut();
        match &mut me.body {
            Answering::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Answering::Streamed(body) => {
                // Asked for more, since what there was has gone.
                me.client.took();
                Pin::new(body).poll_frame(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            Answering::Whole(body) => body.is_end_stream(),
            Answering::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Answering::Whole(body) => body.size_hint(),
            Answering::Streamed(body) => body.size_hint(),
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.client.answered();
    }
}

//! One connection from its accepting to its end.

use super::answer::turned_down;
use super::client::{Client, Stage, TURNED_DOWN};
use super::sent::Sent;
use super::{HttpFrontend, ShutdownPhase};
use crate::gate::Gate;
use crate::upstream::MOST_BUFFERED;
use birchswitch_host::socket;
use hyper::body::Incoming as Body;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::convert::Infallible;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// For what is still to be written on a connection that ends.
const LAST_WRITES: Duration = Duration::from_secs(1);

impl HttpFrontend {
    pub(super) fn connected(self: Rc<Self>, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let _ = stream.set_nodelay(true);
        let client = Client::new(stream);
        let id = self.next_client.replace(self.next_client.get() + 1);
        // Before its task runs: a burst may fill all places within one turn, and where nobody is known to be silent
        // nobody makes room.
        self.clients.borrow_mut().insert(id, client.clone());
        spawn_local(async move {
            self.serve_connection(&client).await;
            self.clients.borrow_mut().remove(&id);
            drop(permit);
        });
    }

    async fn serve_connection(self: &Rc<Self>, client: &Rc<Client>) {
        let service = service_fn(|request| self.respond(client, request));
        // Times are kept by one look at all connections now and then, not by a timer on each.
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MOST_BUFFERED)
            .serve_connection(TokioIo::new(Gate::new(client.socket.clone(), client.clone())), service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.clone();
        let mut known = ShutdownPhase::Serving;
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => break, // Its errors are the client's: it left or spoke no HTTP.
                () = client.wake.notified() => {}
                later = phase.wait_for(|p| *p > known.max(ShutdownPhase::Leaving)), if known < ShutdownPhase::Finishing => {
                    known = later.map_or(ShutdownPhase::Finishing, |phase| *phase);
                    if known == ShutdownPhase::Finishing {
                        client.finish();
                    }
                }
            }
            if known == ShutdownPhase::Finishing && client.stage() == Stage::New {
                break;
            }
            // What is owed or comes on any other is answered first; the last answer says that it is that.
            if known >= ShutdownPhase::Closing && client.rests() {
                connection.as_mut().graceful_shutdown();
            }
            if client.closes() {
                connection.as_mut().graceful_shutdown();
                // Its last answer may still be on its way. A request that was read meanwhile is answered.
                while timeout(LAST_WRITES, connection.as_mut()).await.is_err()
                    && client.stage() == Stage::Busy
                {}
                break;
            }
        }
        self.linger(client).await;
    }

    /// Answers one request of a connection.
    async fn respond(
        self: &Rc<Self>,
        client: &Rc<Client>,
        request: Request<Body>,
    ) -> Result<Response<Sent>, Infallible> {
        client.enter(Stage::Busy);
        // Nobody but hyper knows where chunks end: what is behind them is not read.
        let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        if chunked {
            client.set_unread();
        }
        let mut response = match client.problem.get() {
            Some((status, why)) if request.method() == TURNED_DOWN => turned_down(status, why),
            _ => self.answer(client, request).await,
        };
        // A client that is told to close goes elsewhere next. Where places run short each is: many ask once and keep their
        // connection, and until those may be closed nobody else would get in. But what was read is answered.
        let unwanted = *self.phase.borrow() > ShutdownPhase::Serving || self.scarce();
        if chunked || unwanted && !client.more_is_owed() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if response.headers().get(header::CONNECTION).is_some_and(|v| v == "close") {
            client.set_last();
        }
        Ok(response.map(|body| Sent::new(body, client.clone())))
    }

    /// Closes the sending side and reads what still comes. Nothing of it is sent on.
    async fn linger(&self, client: &Client) {
        if client.is_last() || !self.scarce() {
            let _ = SockRef::from(&*client.socket).shutdown(Shutdown::Write);
            socket::linger(&client.socket).await;
        }
    }
}

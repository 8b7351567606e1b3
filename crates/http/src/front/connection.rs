//! Serves one client connection from its acceptance to its end.

use super::client::{Client, State, REJECTED_METHOD};
use super::events::Reason;
use super::response::rejection_response;
use super::tracked_body::TrackedBody;
use super::{HttpFrontend, ShutdownPhase};
use crate::gate::Gate;
use crate::upstream::MAX_HYPER_BUFFER;
use birchswitch_host::socket::{self, is_open_and_idle};
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

/// Time limit for writing pending responses on a connection that closes.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

impl HttpFrontend {
    /// Starts serving an accepted connection.
    pub(super) fn start_connection(self: Rc<Self>, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let _ = stream.set_nodelay(true);
        socket::limit_unsent(&stream);
        let client = Client::new(stream, self.events.clone());
        let id = self.next_client.replace(self.next_client.get() + 1);
        // Registered before its task runs: a burst may take all slots within one turn of the event loop, and only
        // registered connections can be evicted.
        self.clients.borrow_mut().insert(id, client.clone());
        spawn_local(async move {
            self.serve_connection(&client).await;
            self.clients.borrow_mut().remove(&id);
            drop(permit);
        });
    }

    async fn serve_connection(self: &Rc<Self>, client: &Rc<Client>) {
        self.serve_requests(client).await;
        self.linger(client).await;
    }

    /// Serves requests until nothing more is owed. The buffers end with it.
    async fn serve_requests(self: &Rc<Self>, client: &Rc<Client>) {
        let service = service_fn(|request| self.respond(client, request));
        // A periodic check of all connections enforces time limits, instead of a timer for each connection.
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_HYPER_BUFFER)
            .serve_connection(TokioIo::new(Gate::new(client.socket.clone(), client.clone())), service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.clone();
        let mut current = ShutdownPhase::Serving;
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => break, // Errors are the client's: it disconnected or violated HTTP.
                () = client.wake.notified() => {}
                next = phase.wait_for(|p| *p > current.max(ShutdownPhase::Leaving)), if current < ShutdownPhase::Finishing => {
                    current = next.map_or(ShutdownPhase::Finishing, |phase| *phase);
                    if current == ShutdownPhase::Finishing {
                        client.finish();
                    }
                }
            }
            if current == ShutdownPhase::Finishing && client.state() == State::New {
                break;
            }
            // Other connections get the responses that they are owed first; the last response announces the close.
            if current >= ShutdownPhase::Closing && client.is_idle() {
                connection.as_mut().graceful_shutdown();
            }
            if client.should_close() {
                connection.as_mut().graceful_shutdown();
                // Its last response may still be in transit. A request that was read meanwhile is answered.
                while timeout(FLUSH_TIMEOUT, connection.as_mut()).await.is_err()
                    && matches!(client.state(), State::ReadingBody | State::Processing)
                {}
                break;
            }
        }
    }

    /// Responds to one request of a connection.
    async fn respond(
        self: &Rc<Self>,
        client: &Rc<Client>,
        request: Request<Body>,
    ) -> Result<Response<TrackedBody>, Infallible> {
        client.enter(State::Processing);
        // Only hyper knows where a chunked body ends, so input behind it is not read.
        let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        if chunked {
            client.set_eof_undetectable();
        }
        let mut response = match client.rejection.get() {
            Some((status, why)) if request.method() == REJECTED_METHOD => {
                self.events.record(Reason::Malformed, b"");
                rejection_response(status, why)
            }
            _ => self.handle(client, request).await,
        };
        // A client that is told to close connects elsewhere next. Every client is told so when slots are scarce: many
        // send one request and keep their connection, and until those may be evicted no other client could connect.
        // Requests that were read ahead are still answered.
        let shed = *self.phase.borrow() > ShutdownPhase::Serving || self.slots_are_scarce();
        if chunked || shed && !client.has_read_ahead() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if response.headers().get(header::CONNECTION).is_some_and(|v| v == "close") {
            client.set_last_response();
        }
        Ok(response.map(|body| TrackedBody::new(body, client.clone())))
    }

    /// Closes the sending side, then reads and discards remaining input, so that the client gets its last response. A client
    /// that stopped in the middle of a request sends nothing that would have to be discarded, and makes room at once.
    async fn linger(&self, client: &Client) {
        let scarce = self.slots_are_scarce();
        if client.is_last_response() || !scarce {
            let _ = SockRef::from(&*client.socket).shutdown(Shutdown::Write);
            let stopped = client.has_stopped() && is_open_and_idle(&client.socket);
            if !(scarce && stopped) {
                socket::linger(&client.socket).await;
            }
        }
    }
}

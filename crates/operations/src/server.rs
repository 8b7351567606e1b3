//! The listener for operators' calls.

use crate::call::{Call, MAX_LINE};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Maximum number of connections. When more arrive, the oldest one is closed: calls take no time, so the oldest
/// connection is the least likely to make one.
const MAX_CONNECTIONS: usize = 12;
/// Time limit for receiving a line.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for writing a reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed `accept`, so that a persistent error does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The reply to a call that involves other nodes: a table, or why there is none.
pub type DeferredReply = Pin<Box<dyn Future<Output = Result<String, String>>>>;

/// Carries out calls. Texts are one line each unless stated otherwise.
pub trait CallHandler {
    /// `Ok` while this process accepts clients, else why it does not.
    fn status(&self) -> Result<String, String>;
    /// The current metrics, in many lines.
    fn metrics(&self) -> String;
    /// The fleet's nodes as this node sees them, a line each, or why there are none.
    fn members(&self) -> Result<String, String>;
    /// Leaves the fleet. The node continues to serve requests.
    fn leave(&self) -> Result<String, String>;
    /// The leases that this node knows of, a line each, or why there are none.
    fn leases(&self) -> Result<String, String>;
    /// The status table of the fleet subsystem that the call names, or why the subsystem is not available.
    fn subsystem_status(&self, call: &Call) -> Result<String, String>;
    /// Carries out a call about prepaid accounts at the node that keeps them.
    fn wallet(&self, arguments: &[String]) -> DeferredReply;
    /// Asks the holders of leases with this name at this node to stop.
    fn end_lease(&self, name: &str) -> Result<String, String>;
    /// Starts to wait for a lease and returns a session at once. The lease is awaited, and once granted held, until the
    /// session is released or dropped.
    fn lease(&self, name: &str, slots: u16) -> Result<Box<dyn LeaseSession>, String>;
    /// Suspends or restores a server. `Ok` means that the change has taken effect.
    fn set_suspended(&self, server: &str, suspended: bool) -> Result<String, String>;
}

/// A lease that a caller waits for or holds while connected. The caller polls with a line; one that is silent for 10 s
/// is gone.
pub trait LeaseSession {
    /// The current state, as one line.
    fn state(&self) -> String;
    /// The caller gives up the lease.
    fn release(self: Box<Self>);
}

/// Serves calls. Never returns. Must run on a `LocalSet`.
pub async fn serve<H: CallHandler + 'static>(listener: TcpListener, handler: Rc<H>) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.retain(|c| !c.is_finished());
                if connections.len() >= MAX_CONNECTIONS {
                    connections.pop_front().iter().for_each(AbortHandle::abort);
                }
                let handler = handler.clone();
                // An I/O error means that the caller is gone, and nobody needs to learn of it.
                connections.push_back(
                    spawn_local(async move { serve_call(stream, &*handler).await.ok() }).abort_handle(),
                );
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Reads one call, carries it out and writes the reply.
async fn serve_call(mut stream: TcpStream, handler: &impl CallHandler) -> io::Result<()> {
    let Ok(line) = timeout(READ_TIMEOUT, read_line(&mut stream)).await else { return Ok(()) };
    let Some(line) = line? else { return Ok(()) };
    let reply = match Call::parse(&line) {
        Ok(Call::Wallet(arguments)) => table_reply(handler.wallet(&arguments).await),
        Ok(call) => match carry_out(handler, call) {
            Reply::Text(text) => text,
            Reply::Session(session) => {
                // In a task of its own, so that a long session is not closed as the oldest connection.
                spawn_local(serve_session(stream, session));
                return Ok(());
            }
        },
        Err(error) => status_reply(Err(error.to_string())),
    };
    let write = async {
        stream.write_all(reply.as_bytes()).await?;
        stream.shutdown().await
    };
    timeout(WRITE_TIMEOUT, write).await?
}

/// Writes the session's current state at once and after each read, until the caller disconnects, is silent for too long
/// or releases the lease.
async fn serve_session(mut stream: TcpStream, session: Box<dyn LeaseSession>) {
    let mut buffer = [0; 64];
    loop {
        let state = session.state() + "\n";
        if !matches!(timeout(WRITE_TIMEOUT, stream.write_all(state.as_bytes())).await, Ok(Ok(()))) {
            return;
        }
        match timeout(READ_TIMEOUT, stream.read(&mut buffer)).await {
            Ok(Ok(length)) if buffer[..length].starts_with(b"RELEASE") => return session.release(),
            Ok(Ok(length)) if length > 0 => {}
            _ => return,
        }
    }
}

/// The reply to a call.
enum Reply {
    Text(String),
    Session(Box<dyn LeaseSession>),
}

fn carry_out(handler: &impl CallHandler, call: Call) -> Reply {
    Reply::Text(match call {
        Call::Status => status_reply(handler.status()),
        Call::Metrics => handler.metrics() + "EOT\n",
        Call::Members => table_reply(handler.members()),
        Call::Leave => status_reply(handler.leave()),
        Call::Leases => table_reply(handler.leases()),
        call @ (Call::Mesh | Call::Limits | Call::Wallet(_)) => table_reply(handler.subsystem_status(&call)),
        Call::Lease { name, slots } => match handler.lease(&name, slots) {
            Ok(session) => return Reply::Session(session),
            Err(error) => status_reply(Err(error)),
        },
        Call::EndLease(name) => status_reply(handler.end_lease(&name)),
        Call::Suspend(server) => status_reply(handler.set_suspended(&server, true)),
        Call::Restore(server) => status_reply(handler.set_suspended(&server, false)),
    })
}

/// Formats a table, which `EOT` ends, or a failure.
fn table_reply(result: Result<String, String>) -> String {
    match result {
        Ok(lines) => lines + "EOT\n",
        error => status_reply(error),
    }
}

/// Formats the outcome of a call as one line.
fn status_reply(result: Result<String, String>) -> String {
    match result {
        Ok(text) => format!("SUCCESS {text}\n"),
        Err(text) => format!("FAILURE {text}\n"),
    }
}

/// Reads the first line, or what was received before the caller closed the connection. `None` if nothing was.
async fn read_line(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    let mut buffer = [0; 256];
    // One byte more than the maximum shows that the line is too long.
    while !line.contains(&b'\n') && line.len() <= MAX_LINE {
        match stream.read(&mut buffer).await? {
            0 if line.is_empty() => return Ok(None),
            0 => break,
            n => line.extend_from_slice(&buffer[..n]),
        }
    }
    if let Some(end) = line.iter().position(|b| *b == b'\n') {
        line.truncate(end);
    }
    Ok(Some(line))
}

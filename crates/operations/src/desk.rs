//! The listener that operators call.

use crate::call::{Call, LONGEST};
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

/// Connections at a time. Where more come, the one that has been there longest goes: a call takes no time, so that it is
/// the likeliest never to make one.
const MOST: usize = 12;
/// For the line to come.
const PATIENCE: Duration = Duration::from_secs(10);
/// For the answer to be taken.
const WRITE: Duration = Duration::from_secs(2);
/// A failed `accept` is not tried again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What comes of a call that other nodes have a part in: lines, or why there are none.
pub type DeferredReply = Pin<Box<dyn Future<Output = Result<String, String>>>>;

/// What calls come to. Every text is one line.
pub trait CallHandler {
    /// Yes as soon as, and as long as, this process takes clients; else why not.
    fn status(&self) -> Result<String, String>;
    /// The figures as they are now, many lines.
    fn metrics(&self) -> String;
    /// The fleet's nodes as this one holds them, a line each; or why there are none.
    fn members(&self) -> Result<String, String>;
    /// Says farewell to the fleet's nodes. The node goes on serving.
    fn leave(&self) -> Result<String, String>;
    /// The leases that this node knows of, a line each; or why there are none.
    fn leases(&self) -> Result<String, String>;
    /// What a part of the fleet's common things tells, a line each; or why it is not there.
    fn subsystem_status(&self, what: &Call) -> Result<String, String>;
    /// Has a call about prepaid accounts carried out, by whichever node keeps them.
    fn wallet(&self, words: &[String]) -> DeferredReply;
    /// Tells whoever holds leases of that name at this node to end what they do.
    fn end_lease(&self, name: &str) -> Result<String, String>;
    /// Waits for a lease and holds it until what this returns is released or dropped.
    fn lease(&self, name: &str, slots: u16) -> Result<Box<dyn LeaseSession>, String>;
    /// Takes a server out, or uses it again. A yes is binding from then on.
    fn set_suspended(&self, server: &str, out: bool) -> Result<String, String>;
}

/// A call that lasts. Whoever made it asks again and again by a line; one that is silent for 10 s is gone.
pub trait LeaseSession {
    /// What to tell now.
    fn state(&self) -> String;
    /// The caller says that it is done with it.
    fn release(self: Box<Self>);
}

/// Takes calls for good. Runs on a `LocalSet`.
pub async fn serve<N: CallHandler + 'static>(listener: TcpListener, node: Rc<N>) {
    let mut held: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                held.retain(|h| !h.is_finished());
                if held.len() >= MOST {
                    held.pop_front().iter().for_each(AbortHandle::abort);
                }
                let node = node.clone();
                // Whoever breaks off is not owed anything.
                held.push_back(spawn_local(async move { answer(stream, &*node).await.ok() }).abort_handle());
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn answer(mut stream: TcpStream, node: &impl CallHandler) -> io::Result<()> {
    let Ok(line) = timeout(PATIENCE, read_line(&mut stream)).await else { return Ok(()) };
    let Some(line) = line? else { return Ok(()) };
    let answer = match Call::parse(&line) {
        Ok(Call::Wallet(words)) => listed(node.wallet(&words).await),
        Ok(call) => match carry_out(node, call) {
            Answer::Text(text) => text,
            Answer::Lasting(session) => {
                // It lasts, and must not be taken for a caller that dawdles.
                spawn_local(last(stream, session));
                return Ok(());
            }
        },
        Err(error) => told(Err(error.to_string())),
    };
    let write = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    };
    timeout(WRITE, write).await?
}

/// Until the caller goes: every line of its is answered with the state as it is then.
async fn last(mut stream: TcpStream, session: Box<dyn LeaseSession>) {
    let mut buffer = [0; 64];
    loop {
        let state = session.state() + "\n";
        if !matches!(timeout(WRITE, stream.write_all(state.as_bytes())).await, Ok(Ok(()))) {
            return;
        }
        match timeout(PATIENCE, stream.read(&mut buffer)).await {
            Ok(Ok(length)) if buffer[..length].starts_with(b"RELEASE") => return session.release(),
            Ok(Ok(length)) if length > 0 => {}
            _ => return,
        }
    }
}

/// What a call comes to.
enum Answer {
    Text(String),
    Lasting(Box<dyn LeaseSession>),
}

fn carry_out(node: &impl CallHandler, call: Call) -> Answer {
    Answer::Text(match call {
        Call::Status => told(node.status()),
        Call::Metrics => node.metrics() + "EOT\n",
        Call::Members => listed(node.members()),
        Call::Leave => told(node.leave()),
        Call::Leases => listed(node.leases()),
        what @ (Call::Mesh | Call::Limits | Call::Wallet(_)) => listed(node.subsystem_status(&what)),
        Call::Lease { name, slots } => match node.lease(&name, slots) {
            Ok(session) => return Answer::Lasting(session),
            Err(error) => told(Err(error)),
        },
        Call::EndLease(name) => told(node.end_lease(&name)),
        Call::Suspend(server) => told(node.set_suspended(&server, true)),
        Call::Restore(server) => told(node.set_suspended(&server, false)),
    })
}

fn listed(result: Result<String, String>) -> String {
    match result {
        Ok(lines) => lines + "EOT\n",
        error => told(error),
    }
}

fn told(result: Result<String, String>) -> String {
    match result {
        Ok(text) => format!("SUCCESS {text}\n"),
        Err(text) => format!("FAILURE {text}\n"),
    }
}

/// The first line, or what came before the caller's end. None: nothing did.
async fn read_line(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    let mut buffer = [0; 256];
    // One byte over the longest tells that it is too long.
    while !line.contains(&b'\n') && line.len() <= LONGEST {
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

//! A resource that lease holders act on. It records the begin, end and token of each act and rejects tokens lower than
//! the highest it has seen.

use super::history::{now, Nanos};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// An act that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedAct {
    /// Fencing token of the act.
    pub token: u64,
    /// When the act was accepted.
    pub begin: Nanos,
    /// When its connection ended; none while it is open.
    pub end: Option<Nanos>,
}

/// A resource protected by fencing tokens.
pub struct FencedResource {
    address: SocketAddr,
    fenced: bool,
    highest: Cell<u64>,
    accepted: RefCell<Vec<AcceptedAct>>,
    rejected: RefCell<Vec<u64>>,
}

impl FencedResource {
    /// Listens on loopback. A line `BEGIN token` is answered with `GO` or `LOWER`, and the act ends with its
    /// connection. An unfenced resource accepts any token.
    pub async fn start(fenced: bool) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind(crate::scripted::unique_address()).await?;
        let resource = Rc::new(FencedResource {
            address: listener.local_addr()?,
            fenced,
            highest: Cell::default(),
            accepted: RefCell::default(),
            rejected: RefCell::default(),
        });
        let weak = Rc::downgrade(&resource);
        spawn_local(async move {
            while let (Ok((stream, _)), Some(resource)) = (listener.accept().await, weak.upgrade()) {
                spawn_local(async move { resource.handle(stream).await });
            }
        });
        Ok(resource)
    }

    async fn handle(&self, stream: TcpStream) -> io::Result<()> {
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let Some(token) = line.trim().strip_prefix("BEGIN ").and_then(|t| t.parse().ok()) else {
            return Ok(());
        };
        if self.fenced && token < self.highest.get() {
            self.rejected.borrow_mut().push(token);
            return stream.write_all(b"LOWER\n").await;
        }
        self.highest.set(self.highest.get().max(token));
        let n = self.accepted.borrow().len();
        self.accepted.borrow_mut().push(AcceptedAct { token, begin: now(), end: None });
        stream.write_all(b"GO\n").await?;
        let mut rest = Vec::new();
        // A killed process resets its connection.
        let _ = stream.read_to_end(&mut rest).await;
        self.accepted.borrow_mut()[n].end = Some(now());
        Ok(())
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepted acts, by their begin.
    pub fn accepted(&self) -> Vec<AcceptedAct> {
        self.accepted.borrow().clone()
    }

    /// Rejected tokens.
    pub fn rejected_tokens(&self) -> Vec<u64> {
        self.rejected.borrow().clone()
    }

    /// Overlapping acts with different tokens, and tokens lower than an earlier one.
    pub fn violations(&self) -> Vec<String> {
        let (accepted, mut violations) = (self.accepted.borrow(), Vec::new());
        for (n, act) in accepted.iter().enumerate() {
            for earlier in accepted[..n].iter().filter(|e| e.token != act.token) {
                if earlier.end.is_none_or(|end| end > act.begin) {
                    violations.push(format!(
                        "the act with token {} began during the one with {}",
                        act.token, earlier.token
                    ));
                }
                if act.token < earlier.token {
                    violations.push(format!("token {} came after {}", act.token, earlier.token));
                }
            }
        }
        violations
    }
}

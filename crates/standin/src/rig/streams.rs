//! Ways for connections between a node and whom it speaks with that is no node: servers, discovery, clients.
//!
//! Each way belongs to one place of the rig, so that a cut can be that node's alone, and one-sided. What a cut connection
//! carries waits, as it does in a network that drops packets; nothing is lost or changed. A connection that is begun while its
//! way is cut is taken, and led on once it passes.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Ordered pairs of places.
pub type Pairs = BTreeSet<(usize, usize)>;

/// All ways of a rig. Runs on a `LocalSet`, as long as it is held.
pub struct Streams {
    cut: watch::Sender<Pairs>,
    ways: JoinSet<()>,
}

impl Default for Streams {
    fn default() -> Self {
        Streams { cut: watch::Sender::new(Pairs::new()), ways: JoinSet::new() }
    }
}

impl Streams {
    /// From now on nothing passes for these.
    pub fn cut(&self, pairs: Pairs) {
        self.cut.send_replace(pairs);
    }

    /// Opens a way from one place to another; whoever connects to the address that this returns reaches `real`. Connections are
    /// closed at once while that is none.
    pub async fn open(
        &mut self,
        (from, to): (usize, usize),
        real: watch::Receiver<Option<SocketAddr>>,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cut = self.cut.subscribe();
        self.ways.spawn_local(async move {
            let mut open = JoinSet::new();
            loop {
                tokio::select! {
                    taken = listener.accept() => {
                        let Ok((near, _)) = taken else { continue };
                        let real = *real.borrow();
                        if let Some(real) = real {
                            let (there, back) = (Gate { cut: cut.clone(), pair: (from, to) }, Gate { cut: cut.clone(), pair: (to, from) });
                            // Its end is either side's; neither has anything more to say of it.
                            open.spawn_local(async move { drop(join(near, real, there, back).await) });
                        }
                    }
                    Some(_) = open.join_next() => {}
                }
            }
        });
        Ok(address)
    }
}

/// One direction.
struct Gate {
    cut: watch::Receiver<Pairs>,
    pair: (usize, usize),
}

impl Gate {
    async fn opens(&mut self) -> io::Result<()> {
        let pair = self.pair;
        let open = self.cut.wait_for(|cut| !cut.contains(&pair)).await;
        open.map(drop).map_err(io::Error::other)
    }

    async fn pump(
        mut self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let length = from.read(&mut buffer).await?;
            self.opens().await?;
            if length == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buffer[..length]).await?;
        }
    }
}

async fn join(near: TcpStream, real: SocketAddr, mut there: Gate, mut back: Gate) -> io::Result<()> {
    there.opens().await?;
    back.opens().await?;
    let far = TcpStream::connect(real).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    // A reset on either side ends both.
    tokio::try_join!(there.pump(near_in, far_out), back.pump(far_in, near_out)).map(drop)
}

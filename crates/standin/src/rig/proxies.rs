//! TCP proxies between a node and external endpoints (servers, discovery, clients) and between the meshes of nodes.
//!
//! Each proxy belongs to one place of the rig, so that a cut can affect a single node and a single direction. Data on a
//! cut connection waits, as it does in a network that drops packets; nothing is lost or changed. A connection opened
//! during a cut is accepted, and connected to its target once the cut is over.

use super::wire;
use birchswitch_lab::rng::Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Ordered pairs of places.
pub type Pairs = BTreeSet<(usize, usize)>;

/// Delay of data that was lost, like a sender's initial retransmission timeout.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// Which place connects to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// One place, or an external endpoint.
    Place(usize),
    /// Any node, identified by its source address.
    AnyNode,
}

/// Faults of all proxies.
#[derive(Clone, Debug, Default)]
struct Faults {
    cut: Pairs,
    /// Probability in thousandths that a read is delayed as if it had been lost.
    lose: u32,
}

/// All TCP proxies of a rig. They run on a `LocalSet` until this is dropped.
pub struct TcpProxies {
    faults: watch::Sender<Faults>,
    tasks: JoinSet<()>,
    opened: u64,
    /// Bytes sent by each place.
    sent: Rc<RefCell<BTreeMap<usize, u64>>>,
}

impl Default for TcpProxies {
    fn default() -> Self {
        let faults = watch::Sender::new(Faults::default());
        TcpProxies { faults, tasks: JoinSet::new(), opened: 0, sent: Rc::default() }
    }
}

impl TcpProxies {
    /// Bytes that a place has sent so far.
    pub fn sent_by(&self, place: usize) -> u64 {
        self.sent.borrow().get(&place).copied().unwrap_or_default()
    }

    /// Replaces the set of cut pairs.
    pub fn cut(&self, pairs: Pairs) {
        self.faults.send_modify(|f| f.cut = pairs);
    }

    /// Sets the loss probability in thousandths; lost data arrives after a delay.
    pub fn lose(&self, thousandths: u32) {
        self.faults.send_modify(|f| f.lose = thousandths);
    }

    /// Opens a proxy from one place to another and returns its address. Connections to it are forwarded to `target`, or
    /// closed at once while that is none.
    pub async fn open(
        &mut self,
        (from, to): (Source, usize),
        target: watch::Receiver<Option<SocketAddr>>,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (faults, sent) = (self.faults.subscribe(), self.sent.clone());
        self.opened += 1;
        let mut rng = Rng::new(self.opened, 17);
        self.tasks.spawn_local(async move {
            let mut open = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((near, source)) = accepted else { continue };
                        let target = *target.borrow();
                        if let Some(target) = target {
                            let from = match from {
                                Source::Place(place) => place,
                                Source::AnyNode => wire::place(source.ip()).unwrap_or(usize::MAX),
                            };
                            let mut direction = |pair| {
                                let seed = (rng.unit() * 1e9) as u64;
                                let (faults, sent) = (faults.clone(), sent.clone());
                                Direction { faults, pair, rng: Rng::new(seed, 18), sent }
                            };
                            let (forward, backward) = (direction((from, to)), direction((to, from)));
                            // An end or error on either side ends the connection; there is nothing to report.
                            open.spawn_local(async move { drop(relay(near, target, forward, backward).await) });
                        }
                    }
                    Some(_) = open.join_next() => {}
                }
            }
        });
        Ok(address)
    }
}

/// One direction of a proxied connection.
struct Direction {
    faults: watch::Receiver<Faults>,
    pair: (usize, usize),
    rng: Rng,
    sent: Rc<RefCell<BTreeMap<usize, u64>>>,
}

impl Direction {
    async fn wait_until_open(&mut self) -> io::Result<()> {
        let pair = self.pair;
        let open = self.faults.wait_for(|f| !f.cut.contains(&pair)).await;
        open.map(drop).map_err(io::Error::other)
    }

    async fn copy(
        mut self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let length = from.read(&mut buffer).await?;
            *self.sent.borrow_mut().entry(self.pair.0).or_default() += length as u64;
            self.wait_until_open().await?;
            let lose = self.faults.borrow().lose;
            if lose > 0 && self.rng.unit() * 1000.0 < f64::from(lose) {
                tokio::time::sleep(RETRANSMIT_DELAY).await;
                self.wait_until_open().await?;
            }
            if length == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buffer[..length]).await?;
        }
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    mut forward: Direction,
    mut backward: Direction,
) -> io::Result<()> {
    forward.wait_until_open().await?;
    backward.wait_until_open().await?;
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    // An error in one direction, such as a reset, ends both.
    tokio::try_join!(forward.copy(near_in, far_out), backward.copy(far_in, near_out)).map(drop)
}

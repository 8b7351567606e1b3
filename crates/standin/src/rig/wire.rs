//! The network between nodes, in user space: every datagram passes through it, with faults chosen by its ordered pair
//! of places.
//!
//! Each place has a proxy socket. Other nodes are given that socket's address, and datagrams of a node leave from the
//! socket of its own place, so that every node sees each peer at one address, whatever process runs there.

use birchswitch_lab::rng::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::{spawn_local, JoinSet};

/// Faults of datagrams. Probabilities are in thousandths.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Ordered pairs of places between which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// Probability that a datagram is lost.
    pub lose: u32,
    /// Probability that a datagram is duplicated.
    pub double: u32,
    /// Probability that a bit is flipped.
    pub spoil: u32,
    /// Probability that a datagram is truncated.
    pub shorten: u32,
    /// Upper bound of the random delay of each datagram.
    pub delay: Duration,
}

/// Counts of datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams and bytes that nodes sent.
    pub sent: [u64; 2],
    /// Datagrams lost or cut.
    pub lost: u64,
    /// Datagrams changed or truncated.
    pub corrupted: u64,
    /// Datagrams from unknown addresses.
    pub unknown_sources: u64,
}

struct Place {
    socket: UdpSocket,
    /// Address of the process, if one runs.
    real: Cell<Option<SocketAddr>>,
    /// Datagrams and bytes that the place's processes sent.
    sent: Cell<[u64; 2]>,
}

/// The network between nodes. It runs on a `LocalSet` until this is dropped.
pub struct Wire {
    shared: Rc<Shared>,
    _tasks: JoinSet<()>,
}

struct Shared {
    places: Vec<Place>,
    faults: RefCell<Faults>,
    traffic: RefCell<Traffic>,
    rng: RefCell<Rng>,
}

/// Address of a place within 127.0.0.0/8, for its process or for its proxy socket.
pub fn host(place: usize, standing_in: bool) -> Ipv4Addr {
    let n = place as u16 + 1;
    let [high, low] = n.to_be_bytes();
    Ipv4Addr::new(127, if standing_in { 77 } else { 76 }, high, low)
}

/// The place whose process has this address.
pub fn place(address: std::net::IpAddr) -> Option<usize> {
    match address {
        std::net::IpAddr::V4(v4) if v4.octets()[..2] == [127, 76] => {
            let [_, _, high, low] = v4.octets();
            usize::from(u16::from_be_bytes([high, low])).checked_sub(1)
        }
        _ => None,
    }
}

impl Wire {
    /// Creates a network between a number of places, on ports that the system chooses.
    pub async fn new(places: usize, seed: u64) -> io::Result<Self> {
        let mut all = Vec::new();
        for n in 0..places {
            let socket = UdpSocket::bind((host(n, true), 0)).await?;
            all.push(Place { socket, real: Cell::new(None), sent: Cell::default() });
        }
        let shared = Rc::new(Shared {
            places: all,
            faults: RefCell::default(),
            traffic: RefCell::default(),
            rng: RefCell::new(Rng::new(seed, 9)),
        });
        let mut tasks = JoinSet::new();
        for n in 0..places {
            let shared = shared.clone();
            tasks.spawn_local(async move { shared.forward(n).await });
        }
        Ok(Wire { shared, _tasks: tasks })
    }

    /// Address of a place's proxy socket, as other nodes know it.
    pub fn address(&self, place: usize) -> io::Result<SocketAddr> {
        self.shared.places[place].socket.local_addr()
    }

    /// Sets the address of the process at a place.
    pub fn set_process_address(&self, place: usize, real: Option<SocketAddr>) {
        self.shared.places[place].real.set(real);
    }

    /// Address of the process at a place, if one runs.
    pub fn real(&self, place: usize) -> Option<SocketAddr> {
        self.shared.places[place].real.get()
    }

    /// Changes the faults.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Ordered pairs of places that are cut.
    pub fn cut(&self) -> BTreeSet<(usize, usize)> {
        self.shared.faults.borrow().cut.clone()
    }

    /// Datagrams and bytes that the processes at a place have sent.
    pub fn sent_by(&self, place: usize) -> [u64; 2] {
        self.shared.places[place].sent.get()
    }

    /// Counts of datagrams so far.
    pub fn traffic(&self) -> Traffic {
        *self.shared.traffic.borrow()
    }
}

impl Shared {
    async fn forward(self: Rc<Self>, to: usize) {
        let mut buffer = vec![0; 65536];
        loop {
            let Ok((length, source)) = self.places[to].socket.recv_from(&mut buffer).await else { continue };
            let from = self.places.iter().position(|p| p.real.get() == Some(source));
            let Some(from) = from else {
                self.traffic.borrow_mut().unknown_sources += 1;
                continue;
            };
            for (bytes, delay) in self.apply_faults(from, to, &buffer[..length]) {
                if delay.is_zero() {
                    self.deliver(from, to, &bytes);
                } else {
                    let shared = self.clone();
                    spawn_local(async move {
                        tokio::time::sleep(delay).await;
                        shared.deliver(from, to, &bytes);
                    });
                }
            }
        }
    }

    /// The copies of a datagram that arrive, each with its delay.
    fn apply_faults(&self, from: usize, to: usize, bytes: &[u8]) -> Vec<(Vec<u8>, Duration)> {
        let (faults, mut rng) = (self.faults.borrow(), self.rng.borrow_mut());
        let mut traffic = self.traffic.borrow_mut();
        traffic.sent[0] += 1;
        traffic.sent[1] += bytes.len() as u64;
        let [datagrams, sent] = self.places[from].sent.get();
        self.places[from].sent.set([datagrams + 1, sent + bytes.len() as u64]);
        let happens = |rng: &mut Rng, part: u32| part > 0 && rng.unit() < f64::from(part) / 1e3;
        if faults.cut.contains(&(from, to)) || happens(&mut rng, faults.lose) {
            traffic.lost += 1;
            return Vec::new();
        }
        let copies = 1 + usize::from(happens(&mut rng, faults.double));
        let mut arrive = Vec::new();
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if happens(&mut rng, faults.spoil) && !bytes.is_empty() {
                traffic.corrupted += 1;
                let at = rng.below(bytes.len());
                bytes[at] ^= 1 << rng.below(8);
            }
            if happens(&mut rng, faults.shorten) {
                traffic.corrupted += 1;
                bytes.truncate(rng.below(bytes.len()));
            }
            let delay =
                if faults.delay.is_zero() { Duration::ZERO } else { faults.delay.mul_f64(rng.unit()) };
            arrive.push((bytes, delay));
        }
        arrive
    }

    fn deliver(&self, from: usize, to: usize, bytes: &[u8]) {
        if let Some(real) = self.places[to].real.get() {
            // A full socket buffer drops the datagram, as a real network may.
            let _ = self.places[from].socket.try_send_to(bytes, real);
        }
    }
}

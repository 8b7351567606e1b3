//! The simulator's binary frames: big-endian records of fixed size and one shared tail.

use birchswitch_site::ReportField;
use finchvale::{
    Action, Arrival, AttemptEnded, CellId, ClassId, Event, KindId, ListKind, LoadReport, Outcome, ProbeEnded,
    RequestId, ServerEntry, ServerId, ServerState, TenantId, Time, TimerId, ZoneId,
};
use std::time::Duration;

/// Bytes of a batch header.
pub const HEADER: usize = 16;
/// Bytes of an event record.
pub const EVENT: usize = 48;
/// Bytes of an action record.
pub const ACTION: usize = 24;
/// Bytes of a list entry.
pub const ENTRY: usize = 21;
/// Longest frame that is read, in bytes: far above any real batch, so that a broken length fails fast.
pub const LONGEST: usize = 1 << 30;

/// What is wrong with a frame, and where.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum WireError {
    /// The header's length cannot be right.
    #[error("frame header: length {0} is impossible")]
    Length(usize),
    /// The records do not fit into the frame.
    #[error("frame header: {count} records do not fit into {len} bytes")]
    Count {
        /// Records announced.
        count: usize,
        /// Bytes of the frame.
        len: usize,
    },
    /// The input ended inside a frame.
    #[error("frame: input ends after {got} of {want} bytes")]
    Truncated {
        /// Bytes read.
        got: usize,
        /// Bytes announced.
        want: usize,
    },
    /// No such event.
    #[error("record {at}: unknown event code {code}")]
    Code {
        /// Position of the record.
        at: usize,
        /// Its code.
        code: u8,
    },
    /// A field holds a value that has no meaning.
    #[error("record {at}: {field} {value} is unknown")]
    Value {
        /// Position of the record.
        at: usize,
        /// Its field.
        field: &'static str,
        /// What it holds.
        value: u64,
    },
    /// A field points outside the tail.
    #[error("record {at}: {field} reaches outside the tail")]
    Tail {
        /// Position of the record.
        at: usize,
        /// Its field.
        field: &'static str,
    },
}

/// One frame of events, checked for size.
#[derive(Debug)]
pub struct Batch<'a> {
    /// Its clock.
    pub now: Time,
    count: usize,
    records: &'a [u8],
    tail: &'a [u8],
}

/// A record of a batch.
#[derive(Debug)]
pub enum Record<'a> {
    /// The records after it concern this instance.
    SwitchTo(u32),
    /// The instance starts, empty.
    Init {
        /// Seed of its random numbers.
        seed: u64,
        /// JSON settings.
        config: &'a [u8],
    },
    /// The instance is killed.
    PowerOff,
    /// A message from a peer; no balancer of this project sends any.
    Note,
    /// Something for the balancer.
    Event(Event),
}

fn int<const N: usize>(bytes: &[u8], at: usize) -> u64 {
    bytes[at..at + N].iter().fold(0, |v, b| v << 8 | u64::from(*b))
}

/// The length announced by a header, if it can be right.
pub fn frame_length(header: &[u8; HEADER]) -> Result<usize, WireError> {
    let len = int::<4>(header, 0) as usize;
    if (HEADER..=LONGEST).contains(&len) {
        Ok(len)
    } else {
        Err(WireError::Length(len))
    }
}

impl<'a> Batch<'a> {
    /// Takes a whole frame apart.
    pub fn parse(frame: &'a [u8]) -> Result<Self, WireError> {
        if frame.len() < HEADER || int::<4>(frame, 0) as usize != frame.len() {
            return Err(WireError::Length(frame.len()));
        }
        let count = int::<4>(frame, 12) as usize;
        let body = &frame[HEADER..];
        if count > body.len() / EVENT {
            return Err(WireError::Count { count, len: frame.len() });
        }
        let (records, tail) = body.split_at(count * EVENT);
        Ok(Batch { now: Time(int::<8>(frame, 4)), count, records, tail })
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Reads record `at`; `fields` is the order of figures in the current instance's load reports.
    pub fn record(&self, at: usize, fields: &[ReportField]) -> Result<Record<'a>, WireError> {
        let r = &self.records[at * EVENT..(at + 1) * EVENT];
        let request = || RequestId(int::<8>(r, 1));
        let ns = |offset| Duration::from_nanos(int::<8>(r, offset));
        Ok(match r[0] {
            26 => Record::SwitchTo(int::<4>(r, 1) as u32),
            24 => Record::Init {
                seed: int::<8>(r, 1),
                config: self.tail_slice(at, "config", int::<4>(r, 9), int::<4>(r, 13), 1)?,
            },
            18 => Record::PowerOff,
            23 => {
                self.tail_slice(at, "content", int::<4>(r, 5), int::<4>(r, 9), 1)?;
                Record::Note
            }
            16 => Record::Event(self.list(at, r)?),
            19 => Record::Event(Event::Arrival(Arrival {
                request: request(),
                tenant: TenantId(int::<2>(r, 9) as u16),
                class: ClassId(r[11]),
                remaining: ns(20),
                work: (r[36] & 1 != 0).then(|| ns(28)),
                body_complete: true,
            })),
            25 => Record::Event(Event::ResponseStarted {
                request: request(),
                attempt: u32::from(r[9]),
                latency: ns(14),
            }),
            21 => Record::Event(Event::AttemptEnded(AttemptEnded {
                request: request(),
                attempt: u32::from(r[9]),
                server: ServerId(int::<4>(r, 10) as u32),
                outcome: outcome(at, int::<2>(r, 14))?,
                latency: ns(16),
                closed: r[24] != 0,
                report: report(at, &r[25..42], fields)?,
            })),
            22 => Record::Event(Event::ClientGone { request: request() }),
            17 => Record::Event(Event::Timer { timer: TimerId(int::<4>(r, 1) as u32) }),
            20 => Record::Event(Event::ProbeEnded(ProbeEnded {
                latency: ns(1),
                server: ServerId(int::<4>(r, 9) as u32),
                outcome: outcome(at, int::<2>(r, 13))?,
                report: report(at, &r[15..32], fields)?,
            })),
            code => return Err(WireError::Code { at, code }),
        })
    }

    fn tail_slice(
        &self,
        at: usize,
        field: &'static str,
        offset: u64,
        count: u64,
        size: usize,
    ) -> Result<&'a [u8], WireError> {
        let start = offset as usize;
        let end = start + count as usize * size;
        self.tail.get(start..end).ok_or(WireError::Tail { at, field })
    }

    fn list(&self, at: usize, r: &[u8]) -> Result<Event, WireError> {
        let kind = match r[1] {
            0 => ListKind::Cached,
            1 => ListKind::Failed,
            2 => ListKind::Changes,
            3 => ListKind::Full,
            other => return Err(WireError::Value { at, field: "kind", value: u64::from(other) }),
        };
        let lines = self.tail_slice(at, "entries", int::<4>(r, 10), int::<4>(r, 14), ENTRY)?;
        let mut entries = Vec::with_capacity(lines.len() / ENTRY);
        for e in lines.chunks_exact(ENTRY) {
            entries.push(ServerEntry {
                server: ServerId(int::<4>(e, 0) as u32),
                name: int::<4>(e, 0),
                zone: ZoneId(e[4]),
                kind: KindId(e[5]),
                cell: CellId(int::<2>(e, 6) as u16),
                state: match e[8] {
                    0 => ServerState::Gone,
                    1 => ServerState::Ready,
                    2 => ServerState::Draining,
                    other => {
                        return Err(WireError::Value { at, field: "mode", value: u64::from(other) });
                    }
                },
                weight: f64::from(f32::from_bits(int::<4>(e, 9) as u32)),
                started: Some(int::<8>(e, 13)).filter(|t| *t > 0).map(Time),
            });
        }
        Ok(Event::List { kind, entries })
    }
}

fn outcome(at: usize, code: u64) -> Result<Outcome, WireError> {
    Ok(match code {
        200 => Outcome::Served,
        500 => Outcome::Error,
        503 => Outcome::Rejected,
        504 => Outcome::TimedOut,
        502 => Outcome::Unreachable,
        598 => Outcome::Broken,
        499 => Outcome::Cancelled,
        410 => Outcome::NotSent,
        value => return Err(WireError::Value { at, field: "how", value }),
    })
}

fn report(at: usize, bytes: &[u8], fields: &[ReportField]) -> Result<Option<LoadReport>, WireError> {
    let n = usize::from(bytes[0]);
    if n == 0 {
        return Ok(None);
    }
    if n > 4 || n > fields.len() {
        return Err(WireError::Value { at, field: "server_stats", value: n as u64 });
    }
    let mut report = LoadReport::default();
    for (i, field) in fields[..n].iter().enumerate() {
        field.store(f64::from(f32::from_bits(int::<4>(bytes, 1 + 4 * i) as u32)), &mut report);
    }
    Ok(Some(report))
}

/// A reply under construction.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
    tail: Vec<u8>,
    whose: Option<u32>,
}

impl Reply {
    /// Starts the next reply.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.count = 0;
        self.whose = None;
    }

    fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        for part in parts {
            self.records.extend_from_slice(part);
        }
        self.records.resize(start + ACTION, 0);
        self.count += 1;
    }

    fn text(&mut self, code: u8, text: &str) {
        let at = (self.tail.len() as u32).to_be_bytes();
        self.record(code, &[&at, &(text.len() as u32).to_be_bytes()]);
        self.tail.extend_from_slice(text.as_bytes());
    }

    /// The records that follow belong to `instance`.
    pub fn on_behalf(&mut self, instance: u32) {
        if self.whose != Some(instance) {
            self.whose = Some(instance);
            self.record(24, &[&instance.to_be_bytes()]);
        }
    }

    /// Adds one action of the current instance.
    pub fn action(&mut self, action: &Action) {
        let ns = |d: &Option<Duration>| d.map_or(0, |d| d.as_nanos() as u64).to_be_bytes();
        match action {
            Action::Send { request, server, limit } => {
                self.record(25, &[&request.0.to_be_bytes(), &server.0.to_be_bytes(), &ns(limit)])
            }
            Action::Refuse { request, wait, .. } => {
                self.record(21, &[&request.0.to_be_bytes(), &ns(wait)]);
            }
            Action::Fail { request } => self.record(22, &[&request.0.to_be_bytes()]),
            Action::Cancel { request, attempt } => {
                self.record(19, &[&request.0.to_be_bytes(), &[*attempt as u8]]);
            }
            Action::SetTimer { at, timer } => {
                self.record(26, &[&at.0.to_be_bytes(), &timer.0.to_be_bytes()]);
            }
            Action::Probe { server } => self.record(23, &[&server.0.to_be_bytes()]),
            Action::Watch => self.record(20, &[&[1]]),
            Action::Log(text) => self.text(27, text),
        }
    }

    /// Says that the current instance's decision code has failed.
    pub fn give_in(&mut self, text: &str) {
        self.text(18, text);
    }

    /// The finished frame.
    pub fn frame(&self) -> Vec<u8> {
        let len = 8 + self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(len);
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.extend_from_slice(&(len as u32).to_be_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}

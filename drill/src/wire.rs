//! The simulator's binary frames: big-endian records of fixed size, followed by a variable part, the tail.

use birchswitch_site::ReportField;
use finchvale::{
    Action, Arrival, AttemptEnded, CellId, ClassId, Event, KindId, ListKind, LoadReport, Outcome, ProbeEnded,
    RequestId, ServerEntry, ServerId, ServerState, TenantId, Time, TimerId, ZoneId,
};
use std::time::Duration;

/// Length of a frame header in bytes.
pub const HEADER_LEN: usize = 16;
/// Length of an event record in bytes.
pub const EVENT_LEN: usize = 48;
/// Length of an action record in bytes.
pub const ACTION_LEN: usize = 24;
/// Length of a list entry in bytes.
pub const ENTRY_LEN: usize = 21;
/// Maximum length of a frame in bytes. Real frames are far shorter; the limit detects corrupt lengths early.
pub const MAX_FRAME_LEN: usize = 1 << 30;

/// Error in a frame, with its position.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum WireError {
    /// The length in the header is invalid.
    #[error("frame header: invalid length {0}")]
    Length(usize),
    /// The records exceed the frame.
    #[error("frame header: {count} records do not fit into {len} bytes")]
    Count {
        /// Number of records in the header.
        count: usize,
        /// Length of the frame in bytes.
        len: usize,
    },
    /// The input ended within a frame.
    #[error("frame: input ends after {got} of {want} bytes")]
    Truncated {
        /// Bytes read.
        got: usize,
        /// Bytes expected.
        want: usize,
    },
    /// An unknown event code.
    #[error("record {at}: unknown event code {code}")]
    Code {
        /// Index of the record.
        at: usize,
        /// The code.
        code: u8,
    },
    /// An invalid value in a field.
    #[error("record {at}: {field} {value} is unknown")]
    Value {
        /// Index of the record.
        at: usize,
        /// Name of the field.
        field: &'static str,
        /// The value.
        value: u64,
    },
    /// A field refers to bytes outside the tail.
    #[error("record {at}: {field} reaches outside the tail")]
    Tail {
        /// Index of the record.
        at: usize,
        /// Name of the field.
        field: &'static str,
    },
}

/// One frame of events, with valid lengths.
#[derive(Debug)]
pub struct Batch<'a> {
    /// The time at which the events occur.
    pub now: Time,
    count: usize,
    records: &'a [u8],
    tail: &'a [u8],
}

/// A record of a frame.
#[derive(Debug)]
pub enum Record<'a> {
    /// The following records concern this instance.
    SwitchTo(u32),
    /// The instance starts without state.
    Init {
        /// Seed of its random number generator.
        seed: u64,
        /// Settings as JSON.
        config: &'a [u8],
    },
    /// The instance is killed.
    Kill,
    /// A message from another instance; balancers send none.
    PeerMessage,
    /// An event for the balancer.
    Event(Event),
}

fn int<const N: usize>(bytes: &[u8], at: usize) -> u64 {
    bytes[at..at + N].iter().fold(0, |v, b| v << 8 | u64::from(*b))
}

/// The length in a header, if it is valid.
pub fn frame_length(header: &[u8; HEADER_LEN]) -> Result<usize, WireError> {
    let len = int::<4>(header, 0) as usize;
    if (HEADER_LEN..=MAX_FRAME_LEN).contains(&len) {
        Ok(len)
    } else {
        Err(WireError::Length(len))
    }
}

impl<'a> Batch<'a> {
    /// Parses the header of a complete frame.
    pub fn parse(frame: &'a [u8]) -> Result<Self, WireError> {
        if frame.len() < HEADER_LEN || int::<4>(frame, 0) as usize != frame.len() {
            return Err(WireError::Length(frame.len()));
        }
        let count = int::<4>(frame, 12) as usize;
        let body = &frame[HEADER_LEN..];
        if count > body.len() / EVENT_LEN {
            return Err(WireError::Count { count, len: frame.len() });
        }
        let (records, tail) = body.split_at(count * EVENT_LEN);
        Ok(Batch { now: Time(int::<8>(frame, 4)), count, records, tail })
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Parses record `at`; `fields` gives the order of values in the load reports of the current instance.
    pub fn record(&self, at: usize, fields: &[ReportField]) -> Result<Record<'a>, WireError> {
        let r = &self.records[at * EVENT_LEN..(at + 1) * EVENT_LEN];
        let request = || RequestId(int::<8>(r, 1));
        let ns = |offset| Duration::from_nanos(int::<8>(r, offset));
        Ok(match r[0] {
            26 => Record::SwitchTo(int::<4>(r, 1) as u32),
            24 => Record::Init {
                seed: int::<8>(r, 1),
                config: self.tail_slice(at, "config", int::<4>(r, 9), int::<4>(r, 13), 1)?,
            },
            18 => Record::Kill,
            23 => {
                self.tail_slice(at, "content", int::<4>(r, 5), int::<4>(r, 9), 1)?;
                Record::PeerMessage
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
        let lines = self.tail_slice(at, "entries", int::<4>(r, 10), int::<4>(r, 14), ENTRY_LEN)?;
        let mut entries = Vec::with_capacity(lines.len() / ENTRY_LEN);
        for e in lines.chunks_exact(ENTRY_LEN) {
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
    instance: Option<u32>,
}

impl Reply {
    /// Clears it for the next reply.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.count = 0;
        self.instance = None;
    }

    fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        for part in parts {
            self.records.extend_from_slice(part);
        }
        self.records.resize(start + ACTION_LEN, 0);
        self.count += 1;
    }

    fn text(&mut self, code: u8, text: &str) {
        let at = (self.tail.len() as u32).to_be_bytes();
        self.record(code, &[&at, &(text.len() as u32).to_be_bytes()]);
        self.tail.extend_from_slice(text.as_bytes());
    }

    /// Selects the instance to which the following records belong.
    pub fn select_instance(&mut self, instance: u32) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.record(24, &[&instance.to_be_bytes()]);
        }
    }

    /// Adds an action of the current instance.
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

    /// Reports a panic in the decisions of the current instance.
    pub fn report_panic(&mut self, text: &str) {
        self.text(18, text);
    }

    /// The encoded frame.
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

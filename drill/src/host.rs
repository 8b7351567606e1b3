//! The instances of a simulation: each event goes to its instance's balancer, whose actions go into the
//! reply.

use crate::wire::{frame_length, Batch, Record, Reply, WireError, HEADER_LEN};
use birchswitch_site::{self as site, ConfigError, ReportField};
use finchvale::{Action, Balancer, SettingsError};
use rustc_hash::FxHashMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Why the host stopped.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A malformed frame.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Unreadable settings.
    #[error("record {at}: {source}")]
    Config {
        /// Index of the record.
        at: usize,
        /// The cause.
        source: ConfigError,
    },
    /// Invalid settings.
    #[error("record {at}: settings: {source}")]
    Settings {
        /// Index of the record.
        at: usize,
        /// The cause.
        source: SettingsError,
    },
    /// An event before any `switch_to`.
    #[error("record {at}: no instance selected")]
    NoInstance {
        /// Index of the record.
        at: usize,
    },
    /// An event for an instance that is not running.
    #[error("record {at}: instance {instance} is not running")]
    UnknownInstance {
        /// Index of the record.
        at: usize,
        /// The instance.
        instance: u32,
    },
    /// Reading or writing failed.
    #[error("i/o error: {0}")]
    Io(#[from] io::Error),
}

struct Instance {
    balancer: Balancer,
    fields: Vec<ReportField>,
}

/// All instances in this process.
#[derive(Default)]
pub struct Host {
    instances: FxHashMap<u32, Instance>,
    reply: Reply,
    actions: Vec<Action>,
}

impl Host {
    /// Handles one frame and returns the reply.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, HostError> {
        let batch = Batch::parse(frame)?;
        self.reply.clear();
        let mut current = None;
        for at in 0..batch.len() {
            let instance = current.and_then(|id| self.instances.get_mut(&id));
            let fields = instance.as_ref().map_or(&[][..], |i| &i.fields);
            let event = match batch.record(at, fields) {
                Ok(Record::SwitchTo(id)) => {
                    current = Some(id);
                    continue;
                }
                Ok(Record::Init { seed, config }) => {
                    let id = current.ok_or(HostError::NoInstance { at })?;
                    let config = site::parse(config).map_err(|source| HostError::Config { at, source })?;
                    let balancer = Balancer::new(config.settings, seed, batch.now)
                        .map_err(|source| HostError::Settings { at, source })?;
                    self.instances.insert(id, Instance { balancer, fields: config.fields });
                    continue;
                }
                record => record,
            };
            let id = current.ok_or(HostError::NoInstance { at })?;
            let instance = instance.ok_or(HostError::UnknownInstance { at, instance: id })?;
            match event? {
                Record::Kill => {
                    self.instances.remove(&id);
                }
                Record::Event(event) => {
                    let actions = &mut self.actions;
                    let outcome = catch_unwind(AssertUnwindSafe(|| {
                        instance.balancer.handle(batch.now, event, actions);
                    }));
                    if !self.actions.is_empty() || outcome.is_err() {
                        self.reply.select_instance(id);
                    }
                    for action in self.actions.drain(..) {
                        self.reply.action(&action);
                    }
                    if let Err(payload) = outcome {
                        let text = payload
                            .downcast_ref::<String>()
                            .cloned()
                            .or_else(|| payload.downcast_ref::<&str>().map(ToString::to_string))
                            .unwrap_or_else(|| "panic without a message".into());
                        self.reply.report_panic(&text);
                        return Ok(self.reply.frame());
                    }
                }
                Record::PeerMessage | Record::SwitchTo(_) | Record::Init { .. } => {}
            }
        }
        Ok(self.reply.frame())
    }

    /// Handles frames until the input ends at a frame boundary.
    pub fn run(&mut self, mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
        let mut frame = Vec::new();
        loop {
            let mut header = [0; HEADER_LEN];
            let got = fill(&mut input, &mut header)?;
            if got == 0 {
                return Ok(());
            }
            if got < HEADER_LEN {
                return Err(WireError::Truncated { got, want: HEADER_LEN }.into());
            }
            let want = frame_length(&header)?;
            frame.clear();
            frame.extend_from_slice(&header);
            let rest = (want - HEADER_LEN) as u64;
            let got = HEADER_LEN + input.by_ref().take(rest).read_to_end(&mut frame)?;
            if got < want {
                return Err(WireError::Truncated { got, want }.into());
            }
            output.write_all(&self.answer(&frame)?)?;
            output.flush()?;
        }
    }
}

fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

//! The table of instances: each event goes to its instance's balancer, its actions into the reply.

use crate::wire::{frame_length, Batch, Record, Reply, WireError, HEADER};
use birchswitch_site::{self as site, ConfigError, ReportField};
use finchvale::{Action, Balancer, SettingsError};
use rustc_hash::FxHashMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Why the host stops.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A malformed frame.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Settings that cannot be read.
    #[error("record {at}: {source}")]
    Config {
        /// Position of the record.
        at: usize,
        /// What is wrong.
        source: ConfigError,
    },
    /// Settings that make no sense.
    #[error("record {at}: settings: {source}")]
    Settings {
        /// Position of the record.
        at: usize,
        /// What is wrong.
        source: SettingsError,
    },
    /// An event before any `switch_to`.
    #[error("record {at}: no instance named yet")]
    Nobody {
        /// Position of the record.
        at: usize,
    },
    /// An event for an instance that does not run.
    #[error("record {at}: instance {instance} was never started")]
    Unstarted {
        /// Position of the record.
        at: usize,
        /// The instance.
        instance: u32,
    },
    /// Reading or writing failed.
    #[error("input or output: {0}")]
    Io(#[from] io::Error),
}

struct Instance {
    balancer: Balancer,
    fields: Vec<ReportField>,
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: FxHashMap<u32, Instance>,
    reply: Reply,
    actions: Vec<Action>,
}

impl Host {
    /// Answers one frame.
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
                    let id = current.ok_or(HostError::Nobody { at })?;
                    let config = site::parse(config).map_err(|source| HostError::Config { at, source })?;
                    let balancer = Balancer::new(config.settings, seed, batch.now)
                        .map_err(|source| HostError::Settings { at, source })?;
                    self.instances.insert(id, Instance { balancer, fields: config.fields });
                    continue;
                }
                record => record,
            };
            let id = current.ok_or(HostError::Nobody { at })?;
            let instance = instance.ok_or(HostError::Unstarted { at, instance: id })?;
            match event? {
                Record::PowerOff => {
                    self.instances.remove(&id);
                }
                Record::Event(event) => {
                    let actions = &mut self.actions;
                    let outcome = catch_unwind(AssertUnwindSafe(|| {
                        instance.balancer.handle(batch.now, event, actions);
                    }));
                    if !self.actions.is_empty() || outcome.is_err() {
                        self.reply.on_behalf(id);
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
                        self.reply.give_in(&text);
                        return Ok(self.reply.frame());
                    }
                }
                Record::Note | Record::SwitchTo(_) | Record::Init { .. } => {}
            }
        }
        Ok(self.reply.frame())
    }

    /// Answers frames until the input ends between two of them.
    pub fn run(&mut self, mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
        let mut frame = Vec::new();
        loop {
            let mut header = [0; HEADER];
            let got = fill(&mut input, &mut header)?;
            if got == 0 {
                return Ok(());
            }
            if got < HEADER {
                return Err(WireError::Truncated { got, want: HEADER }.into());
            }
            let want = frame_length(&header)?;
            frame.clear();
            frame.extend_from_slice(&header);
            let rest = (want - HEADER) as u64;
            let got = HEADER + input.by_ref().take(rest).read_to_end(&mut frame)?;
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

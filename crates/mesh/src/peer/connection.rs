//! Runs one connection, from the end of its handshake until it closes.

use super::queue::MAX_QUEUED_REQUESTS;
use super::{connect, PeerTask};
use crate::frame::{write, Disconnect, Frame};
use crate::handshake::Connection;
use crate::mesh::Inner;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use std::time::Duration;
use tokio::time::Instant;

/// Time between checks of the timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A heartbeat is sent when nothing else was for so long.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The peer counts as gone when no complete frame has arrived for so long.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection that carried nothing but heartbeats for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most requests of one peer that are handled at a time. Further ones are not read from the socket.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Exchanges frames until the connection ends, and returns why it did.
pub(super) async fn run(mesh: &Inner, connection: Connection, task: &mut PeerTask) -> Disconnect {
    mesh.counters.connected();
    let reason = exchange(mesh, connection, task).await.err().unwrap_or(Disconnect::Closed);
    mesh.counters.disconnected();
    reason
}

async fn exchange(mesh: &Inner, connection: Connection, task: &mut PeerTask) -> Result<(), Disconnect> {
    let Connection { mut reader, mut writer, mut process, mut dialed, mut _permit } = connection;
    let mut in_progress = FuturesUnordered::new();
    let mut check = tokio::time::interval(CHECK_INTERVAL);
    check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let started = Instant::now();
    let (mut last_sent, mut last_received, mut last_used) = (started, started, started);
    // Requests that were sent on an earlier connection may not have arrived.
    for frame in resend_frames(task) {
        write(&mut writer, &frame).await?;
    }
    loop {
        tokio::select! {
            frame = reader.next(), if in_progress.len() < MAX_CONCURRENT_REQUESTS => {
                let frame = Frame::decode(&frame.ok_or(Disconnect::Closed)??)?;
                last_received = Instant::now();
                if frame != Frame::Heartbeat {
                    last_used = last_received;
                }
                match frame {
                    Frame::Heartbeat => {}
                    Frame::Request { number, lane, bytes } => {
                        mesh.counters.request_received();
                        let response = mesh.handle_request(process, lane, bytes);
                        in_progress.push(async move { (number, response.await) });
                    }
                    Frame::Response { number, bytes } => {
                        // The sender may have stopped waiting.
                        if let Some(request) = task.pending.remove(&number) {
                            let _ = request.reply.send(bytes);
                        }
                    }
                    Frame::Publish { topic, bytes } => mesh.deliver(process, topic, bytes),
                }
            }
            Some((number, bytes)) = in_progress.next() => {
                write(&mut writer, &Frame::Response { number, bytes }).await?;
                last_sent = Instant::now();
            }
            Some(request) = task.requests.recv(), if task.pending.len() < MAX_QUEUED_REQUESTS => {
                let (lane, bytes) = (request.lane, request.bytes.clone());
                let number = task.register(request);
                write(&mut writer, &Frame::Request { number, lane, bytes }).await?;
                mesh.counters.request_sent();
                (last_sent, last_used) = (Instant::now(), Instant::now());
            }
            (topic, bytes) = task.messages.next() => {
                write(&mut writer, &Frame::Publish { topic, bytes }).await?;
                mesh.counters.message_sent();
                (last_sent, last_used) = (Instant::now(), Instant::now());
            }
            Some(other) = task.incoming.recv() => {
                // A peer that dials again has given up this connection. If both sides dialed, the lower member's one is kept.
                let newer = other.process.generation > process.generation;
                if newer || !dialed || connect::dialer_wins(process.id, mesh.own.id) {
                    tracing::debug!(target: "mesh", kind = "replaced", member = mesh.name(process.id));
                    let frames = resend_frames(task);
                    in_progress.clear();
                    (reader, writer, process, dialed, _permit) = (other.reader, other.writer, other.process, other.dialed, other._permit);
                    last_received = Instant::now();
                    for frame in frames {
                        write(&mut writer, &frame).await?;
                    }
                }
            }
            _ = check.tick() => {
                let now = Instant::now();
                if now > last_received + SILENCE_TIMEOUT && in_progress.len() < MAX_CONCURRENT_REQUESTS {
                    return Err(Disconnect::Silent);
                }
                if now > last_used + IDLE_TIMEOUT {
                    return Err(Disconnect::Idle);
                }
                task.drop_expired();
                if now > last_sent + HEARTBEAT_INTERVAL {
                    write(&mut writer, &Frame::Heartbeat).await?;
                    last_sent = now;
                }
            }
        }
    }
}

/// Frames that send all unanswered requests again on a new connection.
fn resend_frames(task: &mut PeerTask) -> Vec<Frame> {
    task.drop_expired();
    let frame = |(number, request): (&u64, &super::queue::PendingRequest)| Frame::Request {
        number: *number,
        lane: request.lane,
        bytes: request.bytes.clone(),
    };
    task.pending.iter().map(frame).collect()
}

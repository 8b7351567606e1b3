//! What happens on one connection, from both greetings to its end.

use super::queue::MAX_QUEUED_REQUESTS;
use super::{reach, Ends};
use crate::frame::{write, Ended, Frame};
use crate::greeting::Connection;
use crate::mesh::Inner;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use std::time::Duration;
use tokio::time::Instant;

/// Between looks at the time.
const LOOK: Duration = Duration::from_millis(250);
/// Something is written at least so often.
const BEAT: Duration = Duration::from_secs(1);
/// Without a whole frame for so long the other side is taken for gone.
const SILENT: Duration = Duration::from_secs(4);
/// A connection on which nothing but beats went for so long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Questions of one peer that are being answered at a time; more wait on the wire.
const ANSWERING: usize = 32;

/// Says and hears what there is until the connection ends.
pub(super) async fn talk(mesh: &Inner, connection: Connection, ends: &mut Ends) -> Ended {
    mesh.counts.connected();
    let ended = exchange(mesh, connection, ends).await.err().unwrap_or(Ended::Closed);
    mesh.counts.disconnected();
    ended
}

async fn exchange(mesh: &Inner, connection: Connection, ends: &mut Ends) -> Result<(), Ended> {
    let Connection { mut reader, mut writer, mut who, mut dialed, mut _place } = connection;
    let mut answering = FuturesUnordered::new();
    let mut look = tokio::time::interval(LOOK);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let begun = Instant::now();
    let (mut wrote, mut heard, mut used) = (begun, begun, begun);
    // What an earlier connection took along may not have been heard.
    for frame in unanswered(ends) {
        write(&mut writer, &frame).await?;
    }
    loop {
        tokio::select! {
            frame = reader.next(), if answering.len() < ANSWERING => {
                let frame = Frame::decode(&frame.ok_or(Ended::Closed)??)?;
                heard = Instant::now();
                if frame != Frame::Beat {
                    used = heard;
                }
                match frame {
                    Frame::Beat => {}
                    Frame::Ask { number, lane, bytes } => {
                        mesh.counts.heard();
                        let answer = mesh.serve(who, lane, bytes);
                        answering.push(async move { (number, answer.await) });
                    }
                    Frame::Answer { number, bytes } => {
                        // Whoever asked may have lost patience.
                        if let Some(ask) = ends.pending.remove(&number) {
                            let _ = ask.reply.send(bytes);
                        }
                    }
                    Frame::Tell { topic, bytes } => mesh.takes(who, topic, bytes),
                }
            }
            Some((number, bytes)) = answering.next() => {
                write(&mut writer, &Frame::Answer { number, bytes }).await?;
                wrote = Instant::now();
            }
            Some(ask) = ends.asks.recv(), if ends.pending.len() < MAX_QUEUED_REQUESTS => {
                let (lane, bytes) = (ask.lane, ask.bytes.clone());
                let number = ends.take_up(ask);
                write(&mut writer, &Frame::Ask { number, lane, bytes }).await?;
                mesh.counts.asked();
                (wrote, used) = (Instant::now(), Instant::now());
            }
            (topic, bytes) = ends.words.next() => {
                write(&mut writer, &Frame::Tell { topic, bytes }).await?;
                mesh.counts.told();
                (wrote, used) = (Instant::now(), Instant::now());
            }
            Some(other) = ends.came.recv() => {
                // The other side dialed again: it has given up this one. Else the lesser one's stands.
                let newer = other.who.generation > who.generation;
                if newer || !dialed || reach::stands(who.id, mesh.own.id) {
                    tracing::debug!(target: "mesh", kind = "replaced", member = mesh.name(who.id));
                    let frames = unanswered(ends);
                    answering.clear();
                    (reader, writer, who, dialed, _place) = (other.reader, other.writer, other.who, other.dialed, other._place);
                    heard = Instant::now();
                    for frame in frames {
                        write(&mut writer, &frame).await?;
                    }
                }
            }
            _ = look.tick() => {
                let now = Instant::now();
                if now > heard + SILENT && answering.len() < ANSWERING {
                    return Err(Ended::Silent);
                }
                if now > used + IDLE {
                    return Err(Ended::Idle);
                }
                ends.tidy();
                if now > wrote + BEAT {
                    write(&mut writer, &Frame::Beat).await?;
                    wrote = now;
                }
            }
        }
    }
}

/// Questions that were taken up and are still wanted, to be asked on a new connection.
fn unanswered(ends: &mut Ends) -> Vec<Frame> {
    ends.tidy();
    let frame = |(number, ask): (&u64, &super::queue::Ask)| Frame::Ask {
        number: *number,
        lane: ask.lane,
        bytes: ask.bytes.clone(),
    };
    ends.pending.iter().map(frame).collect()
}

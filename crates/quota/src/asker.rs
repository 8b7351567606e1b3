//! A node's side: it asks whoever says that it keeps the limits, again and again, and hands what it gets to the node's thread.

use crate::counts::Demand;
use crate::{Counts, Held, Limit, LimitNeed, Measure, Need, Part, Terms, Word, LANE, TASK};
use birchswitch_lease::task_id;
use birchswitch_mesh::{Mesh, Time};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Grants for the node's thread: which limit, how much, and until when by its clock.
#[derive(Debug)]
pub struct Apply {
    /// By the limits' places.
    pub grants: Vec<(usize, Part, Time)>,
    /// Told once they hold.
    pub done: oneshot::Sender<()>,
}

/// Asks for good. What the node may be using is told only once its thread has taken it up.
pub async fn ask(
    mesh: Mesh,
    limits: Vec<Limit>,
    terms: Terms,
    counts: Vec<Arc<Counts>>,
    apply: mpsc::UnboundedSender<Apply>,
) {
    let mut demands: Vec<Demand> = counts.iter().map(|c| Demand::new(c)).collect();
    let places: BTreeMap<u64, usize> = limits.iter().enumerate().map(|(n, limit)| (limit.id, n)).collect();
    let mut held: Vec<Option<(Held, Time)>> = vec![None; limits.len()];
    let (mut heard, mut looked) = (0, Instant::now());
    let mut every = interval(terms.renew);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        let seconds = looked.elapsed().as_secs_f64();
        looked = Instant::now();
        let asked = mesh.clock().now();
        let need = limits.iter().enumerate().map(|(n, limit)| LimitNeed {
            limit: limit.id,
            wants: demands[n].look(&counts[n], seconds, matches!(limit.measure, Measure::InFlight { .. })),
            // One that has ended may be another's by now.
            held: held[n].filter(|(_, until)| asked < *until).map(|(held, _)| held),
            out: counts[n].totals()[2] as u32,
        });
        let need = Need { heard, limits: need.collect() };
        let Some(word) = best(&mesh, &need, terms.ttl / 2).await else { continue };
        if word.token < heard && terms.safeguards.numbers {
            tracing::warn!(target: "quota", kind = "lower", token = word.token, heard);
            continue;
        }
        if word.token > heard {
            // A later keeper takes up what is held once it is known to have been heard.
            every.reset_immediately();
        }
        heard = heard.max(word.token);
        let until = asked + terms.ttl;
        let mut grants = Vec::new();
        let mut now_held = held.clone();
        for issue in &word.issues {
            let Some(&n) = places.get(&issue.limit) else { continue };
            if issue.part.sound() {
                grants.push((n, issue.part, until));
                let held = Held { token: word.token, number: issue.number, part: issue.part };
                now_held[n] = Some((held, until));
            }
        }
        let (done, taken_up) = oneshot::channel();
        if apply.send(Apply { grants, done }).is_err() || taken_up.await.is_err() {
            // The node's thread is gone: so is the node.
            return;
        }
        held = now_held;
    }
}

/// The word of whoever keeps the limits; of two, while they change hands, the later one's.
async fn best(mesh: &Mesh, need: &Need, patience: Duration) -> Option<Word> {
    let question: Bytes = postcard::to_stdvec(need).ok()?.into();
    let answers = mesh.request_from_running(task_id(TASK), LANE, question, patience).await;
    let words = answers.into_iter().filter_map(|a| postcard::from_bytes::<Word>(&a.ok()?).ok());
    words.max_by_key(|word| word.token)
}

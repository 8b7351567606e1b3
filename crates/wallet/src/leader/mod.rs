//! The leader: the node that holds the wallet's lease. It writes the ledger, and responds to a request once the request's entries are
//! on the disks of a majority.

mod admin;

use crate::account::allocator::{Allocator, AllocatorSettings};
use crate::account::{AccountTerms, Entry, LedgerState};
use crate::ledger::Writer;
use crate::message::{RenewalResponse, Request, Response};
use birchswitch_cluster::MemberId;
use birchswitch_mesh::{Mesh, ProcessId, ResponseFuture};
use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep};

/// The mesh's lane for requests to the leader.
pub const LANE: u8 = 2;
/// The name of the task, and of its lease.
pub const TASK: &str = "wallet";
/// Maximum number of requests that are queued for the leader.
const MAX_PENDING: usize = 1024;
/// Maximum number of requests whose entries are written in one batch.
const MAX_BATCH: usize = 256;
/// Time between checks for expired sessions, and between attempts to begin a term.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// A term in which this node leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipTerm {
    /// The lease's fencing token.
    pub token: u64,
}

/// Times and safeguards of a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderSettings {
    /// For how long allotments may be spent from.
    pub ttl: Duration,
    /// The longest time that a client's request may run.
    pub longest_request: Duration,
    /// Keeps allotments of processes that ended in doubt until an operator settles them. Otherwise they are reclaimed.
    pub keep_in_doubt: bool,
    /// Credits each payment id only once.
    pub unique_top_ups: bool,
}

struct PendingRequest {
    process: ProcessId,
    request: Request,
    respond: oneshot::Sender<Response>,
}

/// This node's leader task: it serves requests while the node has a leadership term.
pub struct Leader {
    term: watch::Sender<Option<LeadershipTerm>>,
}

/// What a leader uses in every term.
struct Context {
    mesh: Mesh,
    terms: Vec<AccountTerms>,
    allocator_settings: AllocatorSettings,
    /// The ledger's replicas.
    nodes: Vec<MemberId>,
}

impl Leader {
    /// Serves the wallet's lane of the mesh whenever this node leads. `nodes` are the ledger's replicas.
    pub fn serve(
        mesh: &Mesh,
        account_terms: Vec<AccountTerms>,
        settings: LeaderSettings,
        nodes: Vec<MemberId>,
    ) -> Arc<Self> {
        let (term, leadership) = watch::channel(None);
        let (pending, requests) = mpsc::channel::<PendingRequest>(MAX_PENDING);
        let current = leadership.clone();
        let handle = move |process: ProcessId, bytes: Bytes| {
            let (pending, current) = (pending.clone(), current.clone());
            Box::pin(async move {
                let is_leader = current.borrow().is_some();
                if is_leader {
                    enqueue(&pending, process, &bytes).await
                } else {
                    None
                }
            }) as ResponseFuture
        };
        mesh.serve(LANE, Arc::new(handle));
        let clock = mesh.clock();
        let allocator_settings = AllocatorSettings {
            ttl: settings.ttl,
            expiry: clock.max_elapsed(settings.ttl) + clock.max_elapsed(settings.longest_request),
            keep_in_doubt: settings.keep_in_doubt,
            unique_top_ups: settings.unique_top_ups,
        };
        let context = Context { mesh: mesh.clone(), terms: account_terms, allocator_settings, nodes };
        mesh.spawn(run_terms(context, leadership, requests));
        Arc::new(Leader { term })
    }

    /// Sets the term in which this node leads. `None`: it does not lead.
    pub fn set_term(&self, term: Option<LeadershipTerm>) {
        self.term.send_if_modified(|current| {
            let changed = *current != term;
            *current = term;
            changed
        });
    }
}

/// Queues a request for the leader task and waits for its response. `None`: the request is invalid, the queue is full, or the term
/// has ended.
async fn enqueue(pending: &mpsc::Sender<PendingRequest>, process: ProcessId, bytes: &[u8]) -> Option<Bytes> {
    let request: Request = postcard::from_bytes(bytes).ok()?;
    if matches!(&request, Request::Renew(renewal) if !renewal.is_valid()) {
        return None;
    }
    let (respond, response) = oneshot::channel();
    pending.try_send(PendingRequest { process, request, respond }).ok()?;
    Some(postcard::to_stdvec(&response.await.ok()?).ok()?.into())
}

async fn run_terms(
    context: Context,
    mut leadership: watch::Receiver<Option<LeadershipTerm>>,
    mut requests: mpsc::Receiver<PendingRequest>,
) {
    loop {
        if leadership.wait_for(Option::is_some).await.is_err() {
            return;
        }
        let term = *leadership.borrow();
        let Some(term) = term else { continue };
        let mut changes = leadership.clone();
        tokio::select! {
            why = lead(&context, term.token, &mut requests) => {
                tracing::warn!(target: "wallet", kind = "halts", token = term.token, why);
                sleep(CHECK_INTERVAL).await;
            }
            () = async { drop(changes.wait_for(|now| *now != Some(term)).await) } => {
                tracing::info!(target: "wallet", kind = "ends", token = term.token);
            }
        }
        // Drop queued requests: their senders renew again with the next leader.
        while requests.try_recv().is_ok() {}
    }
}

/// Leads for a term until the ledger can no longer be written, and returns the reason.
async fn lead(context: &Context, token: u64, requests: &mut mpsc::Receiver<PendingRequest>) -> String {
    let (mut writer, mut state) = match Writer::begin(&context.mesh, &context.nodes, token).await {
        Ok(begun) => begun,
        Err(error) => return error.to_string(),
    };
    tracing::info!(target: "wallet", kind = "wallet_kept", token);
    let mut allocator =
        Allocator::new(context.mesh.clock().now(), &context.terms, context.allocator_settings);
    let mut check = interval(CHECK_INTERVAL);
    loop {
        let (mut batch, mut entries) = (Vec::new(), Vec::new());
        tokio::select! {
            _ = check.tick() => entries = allocator.expire(&mut state, context.mesh.clock().now()),
            received = requests.recv_many(&mut batch, MAX_BATCH) => {
                if received == 0 {
                    return "no more questions".to_owned();
                }
            }
        }
        let now = context.mesh.clock().now();
        let mut responses = Vec::new();
        for PendingRequest { process, request, respond } in batch {
            let response = match request {
                Request::Renew(renewal) => {
                    let times = (now, unix_time_ms());
                    let (new, accounts) = allocator.renew(&mut state, times, process, &renewal);
                    entries.extend(new);
                    Response::Renewed(RenewalResponse { token, report: renewal.report.number, accounts })
                }
                Request::Admin(command) => {
                    let (terms, unique) = (&context.terms, context.allocator_settings.unique_top_ups);
                    Response::Admin(admin::execute(terms, unique, &mut state, &command, &mut entries))
                }
            };
            responses.push((respond, response));
        }
        log_entries(&entries, &state);
        if !entries.is_empty() {
            if let Err(error) = writer.write(entries).await {
                return error.to_string();
            }
            writer.compact(&state);
        }
        for (respond, response) in responses {
            // The sender may have stopped waiting.
            let _ = respond.send(response);
        }
    }
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Logs the entries that operators should know of.
fn log_entries(entries: &[Entry], state: &LedgerState) {
    for entry in entries {
        match entry {
            Entry::Pause { account, paused: true } => {
                tracing::warn!(target: "wallet", kind = "paused", account = account.as_str());
            }
            Entry::Pause { account, paused: false } => {
                tracing::info!(target: "wallet", kind = "resumed", account = account.as_str());
            }
            Entry::TopUp { account, units, .. } => {
                let topped = state.accounts.get(account).map_or(0, |a| a.topped_up);
                tracing::info!(target: "wallet", kind = "topped_up", account = account.as_str(), units, topped);
            }
            Entry::MarkInDoubt { account, number } => {
                tracing::warn!(target: "wallet", kind = "in_doubt", account = account.as_str(), part = number);
            }
            _ => {}
        }
    }
}

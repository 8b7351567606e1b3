//! Prepaid accounts: this node's allotments on its own thread; renewal, leadership and the ledger's replica on the mesh's.

use super::leadership::LeadershipTask;
use crate::operations::Subsystem;
use birchswitch_cluster::MemberId;
use birchswitch_figures::Metrics;
use birchswitch_lease::Task;
use birchswitch_lease_host::Tasks;
use birchswitch_mesh::Mesh;
use birchswitch_operations::DeferredReply;
use birchswitch_wallet::{
    renew_allotments, send_command, serve_replica, AdminCommand, Leader, LeaderSettings, LeadershipTerm,
    LocalAllotments, RejectionReason, RenewalStep, Reservation, WalletSettings, TASK,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Nodes beside the leader that stand ready to lead.
const STANDBYS: usize = 2;
/// A node that ends returns what it holds within this, or leaves it in doubt.
const RETURN_TIMEOUT: Duration = Duration::from_secs(5);
/// `Retry-After` for an account that ran out, or was stopped.
const RETRY_PAUSED: Duration = Duration::from_secs(1);

/// Prepaid accounts at this node.
pub struct Wallet {
    compiled: WalletSettings,
    longest_request: Duration,
    mesh: Mesh,
    allotments: Rc<RefCell<LocalAllotments>>,
    short: Arc<Notify>,
}

impl Wallet {
    /// Starts without allotments. `windows` are the classes' replay windows, `longest_request` is the longest time that a request may run.
    pub fn open(
        compiled: &WalletSettings,
        tenants: &[String],
        windows: &[Duration],
        longest_request: Duration,
        mesh: &Mesh,
    ) -> Self {
        let allotments = LocalAllotments::new(&compiled.accounts, tenants, windows, compiled.ttl);
        let (allotments, short) = (Rc::new(RefCell::new(allotments)), Arc::new(Notify::new()));
        Wallet { compiled: compiled.clone(), longest_request, mesh: mesh.clone(), allotments, short }
    }

    /// Returns the guard that charges requests.
    pub fn account_guard(&self) -> AccountGuard {
        let once = self.compiled.safeguards[2];
        AccountGuard {
            allotments: self.allotments.clone(),
            short: self.short.clone(),
            renew: self.compiled.renew,
            once,
            mesh: self.mesh.clone(),
        }
    }

    /// Renews allotments, stores the ledger if this node is one of its replicas, and leads whenever it holds the lease.
    pub fn run(&self, tasks: &Rc<Tasks>) {
        let (mesh, c) = (&self.mesh, &self.compiled);
        if let Some(folder) = &c.folder {
            // The other replicas go on without it, and so does this node.
            if let Err(error) = serve_replica(mesh, folder.clone(), c.max_bytes) {
                tracing::error!(target: "wallet", kind = "ledger_damaged", error = %error);
            }
        }
        let (steps, mut next_steps) = mpsc::unbounded_channel();
        mesh.spawn(renew_allotments(mesh.clone(), (c.renew, c.ttl), steps, self.short.clone()));
        let (allotments, clock) = (self.allotments.clone(), mesh.clock());
        spawn_local(async move {
            while let Some(step) = next_steps.recv().await {
                match step {
                    RenewalStep::Prepare(reply) => {
                        let now = clock.now();
                        let request = allotments.borrow_mut().prepare_renewal(now);
                        // The receiver may have ended with the mesh.
                        let _ = reply.send(request.map(|request| (now, request)));
                    }
                    RenewalStep::Apply(prepared_at, request, response) => {
                        allotments.borrow_mut().apply(prepared_at, &request, &response);
                    }
                }
            }
        });
        let nodes = c.nodes.iter().map(|n| MemberId::of(n)).collect();
        let [keep_in_doubt, unique_top_ups, _] = c.safeguards;
        let (ttl, longest_request) = (c.ttl, self.longest_request);
        let settings = LeaderSettings { ttl, longest_request, keep_in_doubt, unique_top_ups };
        let leader = Leader::serve(mesh, c.accounts.clone(), settings, nodes);
        let on_term = move |term: Option<birchswitch_mesh::LeadershipTerm>| {
            leader.set_term(term.map(|term| LeadershipTerm { token: term.token }));
        };
        let task = Task { name: TASK.to_owned(), zone: String::new(), standbys: STANDBYS };
        tasks.register(task, LeadershipTask { mesh: mesh.clone(), on_term: Rc::new(on_term) });
    }

    /// Returns what is not spent, before the node ends.
    pub async fn return_allotments(&self) {
        let began = Instant::now();
        self.allotments.borrow_mut().close();
        while self.allotments.borrow().is_unsettled() && began.elapsed() < RETURN_TIMEOUT {
            self.short.notify_one();
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Charges requests to their tenants' accounts.
pub struct AccountGuard {
    allotments: Rc<RefCell<LocalAllotments>>,
    short: Arc<Notify>,
    renew: Duration,
    /// A request is debited once, however many attempts it takes. Off only in tests.
    once: bool,
    mesh: Mesh,
}

/// What a request reserved.
pub struct Charge {
    allotments: Rc<RefCell<LocalAllotments>>,
    reservation: Reservation,
    once: bool,
}

impl AccountGuard {
    /// Reserves a request's price, if it has one.
    pub fn reserve(
        &self,
        request: &birchswitch_host::AdmissionRequest,
    ) -> Result<Option<Charge>, birchswitch_host::Rejection> {
        let who = (request.tenant.0, request.class.0);
        let now = self.mesh.clock().now();
        let reserved = self.allotments.borrow_mut().reserve(now, who, request.key, request.work);
        let charge =
            |reservation| Charge { allotments: self.allotments.clone(), reservation, once: self.once };
        match reserved {
            Ok(reservation) => Ok(reservation.map(charge)),
            Err(reason) => {
                if reason == RejectionReason::NoAllotment {
                    self.short.notify_one();
                }
                Err(self.rejection(reason))
            }
        }
    }

    /// Converts a reason to the response for the client.
    fn rejection(&self, reason: RejectionReason) -> birchswitch_host::Rejection {
        let (retry_after, message) = match reason {
            RejectionReason::Paused => (RETRY_PAUSED, "refused: the prepaid balance has run out"),
            RejectionReason::Frozen => (RETRY_PAUSED, "refused: the account is stopped"),
            RejectionReason::NoAllotment => {
                (self.renew, "refused: nothing of the prepaid balance is here now")
            }
        };
        birchswitch_host::Rejection { retry_after, message }
    }
}

impl Charge {
    /// An attempt is sent to a server; `again`: it is not the first.
    pub fn sent(&self, again: bool) {
        if again && !self.once {
            self.allotments.borrow_mut().debit_again(&self.reservation);
        }
    }

    /// Debits the price if the request ran, or may have, and else releases it.
    pub fn settle(self, ran: bool) {
        self.allotments.borrow_mut().settle(self.reservation, ran);
    }
}

/// Prepaid accounts for operators: figures and commands.
pub struct WalletOperations {
    /// Carries commands to the leader.
    pub mesh: Mesh,
    /// This node's allotments.
    pub allotments: Rc<RefCell<LocalAllotments>>,
}

impl Wallet {
    /// Returns the operators' view of the accounts.
    pub fn operations(&self) -> WalletOperations {
        WalletOperations { mesh: self.mesh.clone(), allotments: self.allotments.clone() }
    }
}

/// Parses a command's words.
fn parse(words: &[String]) -> Result<AdminCommand, String> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let units = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is no whole number"));
    let owned = |text: &str| text.to_owned();
    match words[..] {
        [] => Ok(AdminCommand::Show),
        ["DOUBTS"] => Ok(AdminCommand::InDoubt),
        ["TOPUP", account, id, amount] => Ok(AdminCommand::TopUp(owned(account), owned(id), units(amount)?)),
        ["FREEZE", account] => Ok(AdminCommand::Freeze(owned(account), true)),
        ["THAW", account] => Ok(AdminCommand::Freeze(owned(account), false)),
        ["SETTLE", account, part, spent] => Ok(AdminCommand::Settle(owned(account), units(part)?, units(spent)?)),
        _ => Err("WALLET wants nothing more, DOUBTS, TOPUP TENANT ID UNITS, FREEZE TENANT, THAW TENANT or SETTLE TENANT PART SPENT".to_owned()),
    }
}

impl Subsystem for WalletOperations {
    fn metrics(&self, metrics: &Metrics) {
        let totals: Vec<_> = self.allotments.borrow().totals().collect();
        let of = |value: fn(&(String, u64, u64, u64)) -> u64| {
            totals.iter().map(move |t| (t.0.clone(), value(t) as f64)).collect::<Vec<_>>()
        };
        metrics.set_gauges(
            ("wallet_holds", "Units that this node may spend of an account.", "account"),
            of(|t| t.1),
        );
        metrics
            .set_gauges(("wallet_spent", "Units that requests at this node spent.", "account"), of(|t| t.2));
        let turned = "Requests turned away here for want of units.";
        metrics.set_gauges(("wallet_turned_away", turned, "account"), of(|t| t.3));
    }

    fn wallet(&self, words: &[String]) -> Option<DeferredReply> {
        let (mesh, wanted) = (self.mesh.clone(), parse(words));
        Some(Box::pin(async move {
            send_command(&mesh, wanted?).await.map(|text| text.trim_end().to_owned() + "\n")
        }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_commands() {
        let parse_line = |text: &str| parse(&text.split_whitespace().map(str::to_owned).collect::<Vec<_>>());
        assert_eq!(parse_line(""), Ok(AdminCommand::Show));
        assert_eq!(parse_line("TOPUP t pay-1 500"), Ok(AdminCommand::TopUp("t".into(), "pay-1".into(), 500)));
        assert_eq!(parse_line("SETTLE t 7 0"), Ok(AdminCommand::Settle("t".into(), 7, 0)));
        for wrong in ["TOPUP t pay-1", "TOPUP t pay-1 -5", "TOPUP t pay-1 5 6", "SETTLE t x 1", "all"] {
            assert!(parse_line(wrong).is_err_and(|why| !why.contains('\n')), "{wrong}");
        }
    }
}

//! What each request passes before the decisions.

use super::wallet::{AccountGuard, Charge};
use birchswitch_host::{Admission, AdmissionPermit, AdmissionRequest, Rejection};
use birchswitch_quota as quota;
use std::cell::Cell;
use std::rc::Rc;

/// All that stands before the decisions, in turn.
pub struct Gate {
    /// Limits of the whole fleet.
    pub limits: Option<Rc<quota::Limiter>>,
    /// Prepaid accounts.
    pub accounts: Option<AccountGuard>,
}

/// What a request took.
struct Taken {
    /// Given back when it is dropped.
    limits: Option<quota::Permit>,
    charge: Option<Charge>,
    sent: Cell<bool>,
}

/// What clients read whom a limit turned away.
fn over_a_limit(turned: quota::Rejection) -> Rejection {
    let message = "refused: over a limit of the whole fleet; trying again later is harmless";
    Rejection { retry_after: turned.retry_after, message }
}

impl AdmissionPermit for Taken {
    fn check(&self) -> Result<(), Rejection> {
        self.limits.as_ref().map_or(Ok(()), |taken| taken.recheck().map_err(over_a_limit))
    }

    fn attempt_sent(&self) {
        self.limits.iter().for_each(quota::Permit::mark_sent);
        let again = self.sent.replace(true);
        self.charge.iter().for_each(|charge| charge.sent(again));
    }

    fn finish(self: Box<Self>, may_have_run: bool) {
        self.charge.into_iter().for_each(|charge| charge.settle(may_have_run));
    }
}

impl Admission for Gate {
    fn admit(&self, entering: &AdmissionRequest) -> Result<Option<Box<dyn AdmissionPermit>>, Rejection> {
        let charge = self.accounts.as_ref().map(|accounts| accounts.enter(entering)).transpose()?.flatten();
        let limits = self.limits.as_ref().map(|door| door.admit(entering.tenant.0, entering.class.0));
        let limits = match limits.transpose() {
            Ok(limits) => limits.flatten(),
            Err(turned) => {
                charge.into_iter().for_each(|charge| charge.settle(false));
                return Err(over_a_limit(turned));
            }
        };
        let sent = Cell::new(false);
        let any = limits.is_some() || charge.is_some();
        Ok(any.then(|| Box::new(Taken { limits, charge, sent }) as Box<dyn AdmissionPermit>))
    }
}

//! Admission control: the fleet's limits and the tenants' prepaid accounts, checked before a request is dispatched.

use super::wallet::{AccountGuard, Charge};
use birchswitch_host::{Admission, AdmissionPermit, AdmissionRequest, Rejection};
use birchswitch_quota as quota;
use std::cell::Cell;
use std::rc::Rc;

/// Admits requests that their tenant's account can pay for and that the fleet's limits allow, in this order.
pub struct Gate {
    /// Limits of the whole fleet.
    pub limits: Option<Rc<quota::Limiter>>,
    /// Prepaid accounts.
    pub accounts: Option<AccountGuard>,
}

/// What an admitted request holds.
struct GatePermit {
    /// Released when it is dropped.
    limits: Option<quota::Permit>,
    charge: Option<Charge>,
    sent: Cell<bool>,
}

/// Converts a limiter's rejection to the response for the client.
fn limit_rejection(rejection: quota::Rejection) -> Rejection {
    let message = "refused: over a limit of the whole fleet; trying again later is harmless";
    Rejection { retry_after: rejection.retry_after, message }
}

impl AdmissionPermit for GatePermit {
    fn check(&self) -> Result<(), Rejection> {
        self.limits.as_ref().map_or(Ok(()), |permit| permit.recheck().map_err(limit_rejection))
    }

    fn attempt_sent(&self) {
        self.limits.iter().for_each(quota::Permit::mark_sent);
        let repeated = self.sent.replace(true);
        self.charge.iter().for_each(|charge| charge.sent(repeated));
    }

    fn finish(self: Box<Self>, may_have_run: bool) {
        self.charge.into_iter().for_each(|charge| charge.settle(may_have_run));
    }
}

impl Admission for Gate {
    fn admit(&self, request: &AdmissionRequest) -> Result<Option<Box<dyn AdmissionPermit>>, Rejection> {
        let charge = self.accounts.as_ref().map(|accounts| accounts.reserve(request)).transpose()?.flatten();
        let limits = self.limits.as_ref().map(|limiter| limiter.admit(request.tenant.0, request.class.0));
        let limits = match limits.transpose() {
            Ok(limits) => limits.flatten(),
            Err(rejection) => {
                charge.into_iter().for_each(|charge| charge.settle(false));
                return Err(limit_rejection(rejection));
            }
        };
        let sent = Cell::new(false);
        let holds_any = limits.is_some() || charge.is_some();
        Ok(holds_any.then(|| Box::new(GatePermit { limits, charge, sent }) as Box<dyn AdmissionPermit>))
    }
}

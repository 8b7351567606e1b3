//! What each request passes before the decisions.

use super::wallet::{AccountGuard, Charge};
use birchswitch_host::{Door, Entering, Pass, Turned};
use birchswitch_quota as quota;
use std::cell::Cell;
use std::rc::Rc;

/// All that stands before the decisions, in turn.
pub struct Gate {
    /// Limits of the whole fleet.
    pub limits: Option<Rc<quota::Door>>,
    /// Prepaid accounts.
    pub accounts: Option<AccountGuard>,
}

/// What a request took.
struct Taken {
    /// Given back when it is dropped.
    limits: Option<quota::Taken>,
    charge: Option<Charge>,
    sent: Cell<bool>,
}

/// What clients read whom a limit turned away.
fn over_a_limit(turned: quota::Turned) -> Turned {
    let why = "refused: over a limit of the whole fleet; trying again later is harmless";
    Turned { wait: turned.wait, why }
}

impl Pass for Taken {
    fn fit(&self) -> Result<(), Turned> {
        self.limits.as_ref().map_or(Ok(()), |taken| taken.fit().map_err(over_a_limit))
    }

    fn sent(&self) {
        self.limits.iter().for_each(quota::Taken::sent);
        let again = self.sent.replace(true);
        self.charge.iter().for_each(|charge| charge.sent(again));
    }

    fn over(self: Box<Self>, ran: bool) {
        self.charge.into_iter().for_each(|charge| charge.settle(ran));
    }
}

impl Door for Gate {
    fn enter(&self, entering: &Entering) -> Result<Option<Box<dyn Pass>>, Turned> {
        let charge = self.accounts.as_ref().map(|accounts| accounts.enter(entering)).transpose()?.flatten();
        let limits = self.limits.as_ref().map(|door| door.enter(entering.tenant.0, entering.class.0));
        let limits = match limits.transpose() {
            Ok(limits) => limits.flatten(),
            Err(turned) => {
                charge.into_iter().for_each(|charge| charge.settle(false));
                return Err(over_a_limit(turned));
            }
        };
        let sent = Cell::new(false);
        let any = limits.is_some() || charge.is_some();
        Ok(any.then(|| Box::new(Taken { limits, charge, sent }) as Box<dyn Pass>))
    }
}

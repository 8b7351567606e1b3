//! Operators' commands to the leader, and the text of their replies.

use crate::account::{Account, AccountTerms, Entry, LedgerState};
use crate::message::AdminCommand;

/// Executes a command. New entries are applied to the state and added to `entries`, which are still to be written. An error says why
/// the command was rejected.
pub(super) fn execute(
    terms: &[AccountTerms],
    unique_top_ups: bool,
    state: &mut LedgerState,
    command: &AdminCommand,
    entries: &mut Vec<Entry>,
) -> Result<String, String> {
    let known = |account: &String| match terms.iter().any(|terms| terms.account == *account) {
        true => Ok(()),
        false => Err(format!("no [[wallet]] is for a tenant {account:?}")),
    };
    let mut append = |state: &mut LedgerState, entry: Entry| {
        state.apply(&entry);
        entries.push(entry);
    };
    match command {
        AdminCommand::Show => Ok(accounts(terms, state)),
        AdminCommand::InDoubt => Ok(in_doubt(state)),
        AdminCommand::TopUp(account, id, units) => {
            known(account)?;
            let again = state.accounts.get(account).is_some_and(|a| a.has_top_up(id));
            if again && unique_top_ups {
                return Ok(format!("{account} was topped up by {id} before"));
            }
            let id = if again { format!("{id}+{}", state.next_allotment) } else { id.clone() };
            if again {
                state.next_allotment += 1;
            }
            append(state, Entry::TopUp { account: account.clone(), id, units: *units });
            Ok(format!("{account} is topped up by {units}"))
        }
        AdminCommand::Freeze(account, frozen) => {
            known(account)?;
            append(state, Entry::Freeze { account: account.clone(), frozen: *frozen });
            Ok(format!("{account} is {}", if *frozen { "frozen" } else { "open again" }))
        }
        AdminCommand::Settle(account, number, spent) => {
            known(account)?;
            check_settlement(state, account, *number, *spent)?;
            append(state, Entry::Settle { account: account.clone(), number: *number, spent: *spent });
            Ok(format!("part {number} of {account} is settled"))
        }
    }
}

fn check_settlement(state: &LedgerState, account: &str, number: u64, spent: u64) -> Result<(), String> {
    let allotment = state.accounts.get(account).and_then(|a| a.allotments().get(&number));
    let Some(allotment) = allotment.filter(|allotment| allotment.in_doubt) else {
        return Err(format!("{account} has no part {number} in doubt"));
    };
    if (allotment.spent..=allotment.units).contains(&spent) {
        return Ok(());
    }
    Err(format!("of part {number} {} to {} units may be spent", allotment.spent, allotment.units))
}

fn accounts(terms: &[AccountTerms], state: &LedgerState) -> String {
    let mut text = String::from("# account topped_up balance outstanding spent in_doubt given_back state\n");
    let none = Account::default();
    for terms in terms {
        let account = state.accounts.get(&terms.account).unwrap_or(&none);
        text += &format!(
            "{} {} {} {} {} {} {} {}\n",
            terms.account,
            account.topped_up,
            account.balance(),
            account.outstanding(),
            account.spent,
            account.in_doubt(),
            account.refunded,
            account_state(terms, account)
        );
    }
    text
}

fn account_state(terms: &AccountTerms, account: &Account) -> &'static str {
    let left = account.balance() + i128::from(terms.overdraft) + i128::from(account.outstanding());
    match (account.frozen, account.paused) {
        (true, _) => "frozen",
        (_, true) => "paused",
        _ if left < i128::from(terms.low) => "low",
        _ => "open",
    }
}

fn in_doubt(state: &LedgerState) -> String {
    let mut text = String::from("# account part units spent_at_least member started\n");
    for (name, account) in &state.accounts {
        for (number, allotment) in account.allotments().iter().filter(|(_, a)| a.in_doubt) {
            let (units, spent) = (allotment.units, allotment.spent);
            let (member, started) = (allotment.process.id.0, allotment.process.generation.started);
            text += &format!("{name} {number} {units} {spent} {member:x} {started}\n");
        }
    }
    text
}

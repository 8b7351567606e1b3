//! Checks the encoding of messages between nodes and of stored data against samples from 0.1.0: nodes of different builds talk to each
//! other during a roll-out, and later builds read existing ledgers.

use birchswitch_cluster::{Generation, MemberId};
use birchswitch_mesh::ProcessId;
use birchswitch_wallet::{
    AccountGrant, AdminCommand, AllotmentReport, Demand, Entry, KeyDebit, LedgerState, Record,
    RenewalRequest, RenewalResponse, Report, Request, Response,
};
use serde::Serialize;

fn hex(value: &impl Serialize) -> String {
    let bytes = postcard::to_stdvec(value).expect("it encodes");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn process() -> ProcessId {
    ProcessId { id: MemberId(77), generation: Generation { started: 1_700_000, draw: 5 } }
}

fn report() -> Report {
    let allotment = AllotmentReport { account: "t".into(), number: 3, spent: 4, returned: 5, closed: true };
    let key = KeyDebit { account: "t".into(), hash: 999, units: 2, window: 10_000 };
    Report { number: 6, allotments: vec![allotment], keys: vec![key] }
}

#[test]
fn messages_between_nodes_keep_their_encoding() {
    let demand = Demand { account: "t".into(), units_per_s: 1.5, largest_rejected: 5, holds: vec![(3, 9)] };
    let renewal = RenewalRequest { sequence: 7, highest_token: 11, report: report(), demands: vec![demand] };
    assert_eq!(hex(&Request::Renew(renewal)), "00070b0601017403040501010174e70702904e0101740000c03f05010309");
    let account =
        AccountGrant { account: "t".into(), allotment: Some((8, 20)), keep: 29, paused: true, frozen: false };
    let response = RenewalResponse { token: 11, report: 6, accounts: vec![account] };
    assert_eq!(hex(&Response::Renewed(response)), "000b060101740108141d0100");
    assert_eq!(hex(&Response::Admin(Err("no".into()))), "0101026e6f");
    let commands = [
        AdminCommand::Show,
        AdminCommand::InDoubt,
        AdminCommand::TopUp("t".into(), "p".into(), 300),
        AdminCommand::Freeze("t".into(), true),
        AdminCommand::Settle("t".into(), 3, 4),
    ];
    let encoded = commands.map(|command| hex(&Request::Admin(command)));
    assert_eq!(encoded, ["0100", "0101", "010201740170ac02", "0103017401", "010401740304"]);
}

#[test]
fn stored_data_keeps_its_encoding() {
    let account = || "t".to_owned();
    let entries = [
        Entry::TermBegan,
        Entry::TopUp { account: account(), id: "p".into(), units: 300 },
        Entry::Freeze { account: account(), frozen: true },
        Entry::Pause { account: account(), paused: true },
        Entry::Allot { account: account(), number: 3, process: process(), units: 20, sequence: 7 },
        Entry::Allot { account: account(), number: 4, process: process(), units: 10, sequence: 8 },
        Entry::Allot { account: account(), number: 5, process: process(), units: 10, sequence: 9 },
        Entry::Report { process: process(), report: report(), time: 123_456 },
        Entry::Reclaim { account: account(), number: 4 },
        Entry::MarkInDoubt { account: account(), number: 5 },
        Entry::Settle { account: account(), number: 6, spent: 1 },
    ];
    let mut state = LedgerState::default();
    entries.iter().for_each(|entry| state.apply(entry));
    let records: Vec<Record> =
        (1..).zip(entries).map(|(index, entry)| Record { index, token: 9, entry }).collect();
    assert_eq!(hex(&records), "0b01090002090101740170ac020309020174010409030174010509040174034da0e1670514070609040174044da0e167050a080709040174054da0e167050a090809054da0e167050601017403040501010174e70702904ec0c4070909060174040a09070174050b090801740601");
    assert_eq!(
        hex(&state),
        "010174ac02040001054da0e167050a0000090101017001e707d09208010106014da0e1670506c0c407c0c407"
    );
}

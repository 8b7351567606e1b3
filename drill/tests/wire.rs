//! The byte examples of the wire format page, malformed frames, and the instances.

use birchswitch_site::{parse, ReportField};
use finchvale::*;
use finchvale_drill::host::{Host, HostError};
use finchvale_drill::wire::{Batch, Record, Reply, WireError, EVENT_LEN, HEADER_LEN};
use std::io::Write;
use std::process::{Command, Stdio};
use std::time::Duration;

const FIELDS: [ReportField; 4] =
    [ReportField::Utilization, ReportField::Throughput, ReportField::Backlog, ReportField::Outstanding];

const SETTINGS: &str = r#"{"balancers": 4, "unheard_of": {"a": 1},
 "limits": {"may_cancel": true, "may_probe": false, "max_retry_after_ns": 1500000000, "retry_after": true,
            "second_copies": false, "try_limit": 6},
 "profiles": [{"deadline_ns": 4000000000, "effect": "free", "importance": 5.0, "key_scope": "all",
               "late_worth": 0.0, "name": "a", "promise_ns": 1600000000, "repeat_window_ns": 0, "streaming": false},
              {"deadline_ns": 4000000000, "effect": "guarded", "importance": 10.0, "key_scope": "cell",
               "kinds_open": [1], "late_worth": 0.0, "name": "b", "runs_in": [0, 1], "promise_ns": 1600000000, "repeat_window_ns": 3000000000}],
 "registry_mode": "automatic", "report": {"fields": ["utilization", "throughput"], "how": "piggyback"},
 "rules": {"ask_every_ns": 10000000000, "cold_from": 0.13, "drain_grace_ns": 250000000, "fall_multiple": 3.0,
           "overload_for_ns": 1000000000, "warm_up_ns": 23000000000},
 "tenants": [{"name": "t", "quota_per_s": 100.0, "share": 1.0}], "weights": "silent", "worth_by": "request",
 "zone": 1, "zones": ["x", "y"]}"#;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap()).collect()
}

fn padded(text: &str, size: usize) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(size, 0);
    bytes
}

fn frame(now: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut f = ((HEADER_LEN + body.len() + tail.len()) as u32).to_be_bytes().to_vec();
    f.extend_from_slice(&now.to_be_bytes());
    f.extend_from_slice(&(records.len() as u32).to_be_bytes());
    f.extend_from_slice(&body);
    f.extend_from_slice(tail);
    f
}

fn parse_event(record: &str, tail: &[u8]) -> Result<Event, WireError> {
    let f = frame(1, &[padded(record, EVENT_LEN)], tail);
    match Batch::parse(&f)?.record(0, &FIELDS)? {
        Record::Event(event) => Ok(event),
        other => panic!("not an event: {other:?}"),
    }
}

fn switch_to(id: u32) -> Vec<u8> {
    padded(&format!("1a{id:08x}"), EVENT_LEN)
}

fn init(text: &str) -> Vec<u8> {
    padded(&format!("18 0000000000000007 00000000 {:08x}", text.len()), EVENT_LEN)
}

#[test]
fn empty_batch_matches_the_wire_format_page() {
    let f = hex("00000010 00000001f568bf90 00000000");
    assert_eq!(Host::default().answer(&f).unwrap(), hex("00000000 00000008"));
}

#[test]
fn events_match_the_wire_format_page() {
    let e =
        parse_event("13 00068b685d3a91c4 0000 00 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 01", &[])
            .unwrap();
    let Event::Arrival(a) = e else { panic!("{e:?}") };
    assert_eq!((a.request.0, a.class.0, a.tenant.0), (0x0006_8b68_5d3a_91c4, 0, 0));
    assert_eq!((a.remaining, a.work), (Duration::from_millis(240), Some(Duration::from_millis(12))));
    let e = parse_event(
        "15 00068b685d3a91c4 00 03124a07 00c8 00000000011a49a0 01 04 3f1eb852 430c0000 40400000 40e00000",
        &[],
    );
    let Ok(Event::AttemptEnded(v)) = e else { panic!("{e:?}") };
    assert_eq!((v.attempt, v.server.0, v.outcome, v.closed), (0, 0x0312_4a07, Outcome::Served, true));
    let report = v.report.unwrap();
    assert!((report.busy.unwrap() - 0.62).abs() < 1e-6);
    assert_eq!((report.rate, report.waiting, report.held), (Some(140.0), Some(3.0), Some(7.0)));
    let e =
        parse_event("14 0000000000155cc0 2c9011f2 00c8 04 3f1eb852 430c0000 40400000 40e00000", &[]).unwrap();
    assert!(
        matches!(e, Event::ProbeEnded(p) if p.server.0 == 0x2c90_11f2 && p.latency == Duration::from_micros(1400))
    );
    let e = parse_event("19 00068b685d3a91c4 00 03124a07 00000000008d24d0", &[]).unwrap();
    assert!(
        matches!(e, Event::ResponseStarted { attempt: 0, latency, .. } if latency == Duration::from_micros(9250))
    );
    assert!(matches!(parse_event("11 0000004d", &[]).unwrap(), Event::Timer { timer: TimerId(0x4d) }));
    let e = parse_event("16 00058cb70e6f2b19", &[]).unwrap();
    assert!(matches!(e, Event::ClientGone { request: RequestId(0x0005_8cb7_0e6f_2b19) }));
    let tail = hex(
        "03124a07 00 00 0000 01 3f800000 0000000000000000 2c9011f2 01 02 0000 01 3fc00000 000000016b969d00",
    );
    let e = parse_event("10 00 0000000000000029 00000000 00000002", &tail).unwrap();
    let Event::List { kind: ListKind::Cached, entries } = e else { panic!("{e:?}") };
    assert_eq!((entries.len(), entries[0].started, entries[1].started), (2, None, Some(Time(0x1_6b96_9d00))));
    assert_eq!((entries[1].server.0, entries[1].zone.0, entries[1].weight), (0x2c90_11f2, 1, 1.5));
    assert_eq!((entries[0].kind, entries[1].kind), (KindId(0), KindId(2)));
    let f = frame(1, &[padded("17 00000002 00000000 00000004", EVENT_LEN)], &hex("68692037"));
    assert!(matches!(Batch::parse(&f).unwrap().record(0, &[]).unwrap(), Record::PeerMessage));
    let f = frame(1, &[padded("12", EVENT_LEN)], &[]);
    assert!(matches!(Batch::parse(&f).unwrap().record(0, &[]).unwrap(), Record::Kill));
}

#[test]
fn actions_match_the_wire_format_page() {
    let mut r = Reply::default();
    let request = RequestId(0x0006_8b68_5d3a_91c4);
    let (first, second) = (ServerId(0x0312_4a07), RequestId(0x0005_8cb7_0e6f_2b19));
    let ns = Duration::from_nanos;
    r.select_instance(3);
    r.action(&Action::Send { request, server: first, limit: Some(Duration::from_millis(80)) });
    r.action(&Action::SetTimer { at: Time(0x2_1336_2490), timer: TimerId(0x4d) });
    r.select_instance(5);
    r.action(&Action::Log("two servers known".into()));
    let records = [
        "18 00000003",
        "19 00068b685d3a91c4 03124a07 0000000004c4b400",
        "1a 0000000213362490 0000004d",
        "18 00000005",
        "1b 00000000 00000011",
    ];
    let mut want = hex("00000005 00000091");
    for record in records {
        want.extend(padded(record, 24));
    }
    want.extend(hex("74776f2073657276657273206b6e6f776e"));
    assert_eq!(r.frame(), want);
    for (action, bytes) in [
        (Action::Watch, "14 01"),
        (Action::Probe { server: first }, "17 03124a07"),
        (Action::Cancel { request, attempt: 0 }, "13 00068b685d3a91c4 00"),
        (Action::Fail { request: second }, "16 00058cb70e6f2b19"),
        (
            Action::Refuse { request: second, wait: Some(ns(0x0ee6_b280)), why: Refusal::BelowThreshold },
            "15 00058cb70e6f2b19 000000000ee6b280",
        ),
    ] {
        r.clear();
        r.action(&action);
        assert_eq!(r.frame()[8..], padded(bytes, 24));
    }
    r.clear();
    r.report_panic("index out of range");
    let want = [hex("00000001 00000032"), padded("12 00000000 00000012", 24), b"index out of range".to_vec()]
        .concat();
    assert_eq!(r.frame(), want);
}

#[test]
fn malformed_records_are_reported() {
    assert_eq!(parse_event("63", &[]).unwrap_err(), WireError::Code { at: 0, code: 0x63 });
    let e = parse_event("15 00 00 00 00 00 00 00 01 00 00000001 03e7", &[]).unwrap_err();
    assert_eq!(e, WireError::Value { at: 0, field: "how", value: 999 });
    let e = parse_event("10 09", &[]).unwrap_err();
    assert_eq!(e, WireError::Value { at: 0, field: "kind", value: 9 });
    let e = parse_event("10 03 0000000000000001 00000000 00000002", &[0; 21]).unwrap_err();
    assert_eq!(e, WireError::Tail { at: 0, field: "entries" });
    let e = parse_event("14 0000000000155cc0 2c9011f2 00c8 05", &[]).unwrap_err();
    assert_eq!(e, WireError::Value { at: 0, field: "server_stats", value: 5 });
    let short = hex("00000020 0000000000000001 00000001 00000000000000000000000000000000");
    assert_eq!(Batch::parse(&short).unwrap_err(), WireError::Count { count: 1, len: 32 });
    assert!(matches!(Batch::parse(&short[..20]), Err(WireError::Length(20))));
}

#[test]
fn instances_start_stop_and_share_no_state() {
    let tail = SETTINGS.as_bytes();
    let mut host = Host::default();
    let arrival =
        |id: u64| padded(&format!("13 {id:016x} 0000 00 0000000000000000 000000000e4e1c00"), EVENT_LEN);
    assert!(matches!(host.answer(&frame(1, &[arrival(1)], &[])), Err(HostError::NoInstance { at: 0 })));
    let e = host.answer(&frame(1, &[switch_to(3), arrival(1)], &[])).unwrap_err();
    assert!(matches!(e, HostError::UnknownInstance { at: 1, instance: 3 }), "{e}");
    // Without servers the request is refused.
    let reply = host.answer(&frame(2, &[switch_to(3), init(SETTINGS), arrival(1)], tail)).unwrap();
    assert_eq!((reply[8], reply[8 + 24]), (24, 21));
    // A killed instance takes no events; one restarted within a batch has no state.
    let e = host.answer(&frame(3, &[switch_to(3), padded("12", EVENT_LEN), arrival(2)], &[])).unwrap_err();
    assert!(matches!(e, HostError::UnknownInstance { at: 2, instance: 3 }), "{e}");
    let batch = [switch_to(3), init(SETTINGS), padded("12", EVENT_LEN), init(SETTINGS), arrival(2)];
    assert!(host.answer(&frame(4, &batch, tail)).is_ok());
}

#[test]
fn settings_are_parsed_and_errors_name_the_field() {
    let c = parse(SETTINGS.as_bytes()).unwrap();
    assert_eq!((c.settings.nodes, c.settings.zone.0, c.settings.classes.len()), (4, 1, 2));
    assert!(c.settings.reports_rate);
    let keyed = Effect::Keyed { scope: KeyScope::Cell, window: Duration::from_secs(3) };
    assert_eq!(c.settings.classes[1].effect, keyed);
    assert_eq!(c.settings.classes[1].kinds, Some(vec![KindId(1)]));
    assert_eq!(c.settings.classes[1].zones, Some(vec![ZoneId(0), ZoneId(1)]));
    assert_eq!((&c.settings.classes[0].kinds, &c.settings.classes[0].zones), (&None, &None));
    let bad = |from: &str, to: &str| parse(SETTINGS.replace(from, to).as_bytes()).unwrap_err().to_string();
    let e = bad("\"guarded\"", "\"sometimes\"");
    assert!(e.contains("profiles[1].effect") && e.contains("sometimes"), "{e}");
    assert!(bad("\"zone\": 1", "\"zone\": \"x\"").contains("zone"));
    assert!(bad("\"tenants\"", "tenants").contains("settings at"));
    let text = SETTINGS.replace("\"zone\": 1", "\"zone\": 7");
    let f = frame(1, &[switch_to(1), init(&text)], text.as_bytes());
    let e = Host::default().answer(&f).unwrap_err().to_string();
    assert!(e.contains("zone: 7"), "{e}");
}

fn run(input: &[u8]) -> (bool, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_finchvale-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    let out = child.wait_with_output().unwrap();
    (out.status.success(), out.stdout, String::from_utf8(out.stderr).unwrap())
}

#[test]
fn program_replies_and_exits() {
    let empty = hex("00000010 00000001f568bf90 00000000");
    let (success, out, err) = run(&empty);
    assert!(success && err.is_empty());
    assert_eq!(out, hex("00000000 00000008"));
    for (input, expected) in [
        (&empty[..7], "7 of 16"),
        (&hex("00000004 0000000000000001 00000000")[..], "length 4"),
        (&hex("00000020 0000000000000001 00000000")[..], "16 of 32"),
        (&hex("ffffffff 0000000000000001 00000000")[..], "length"),
    ] {
        let (success, out, err) = run(input);
        assert!(!success && out.is_empty());
        assert!(err.contains(expected) && err.lines().count() == 1, "{err}");
    }
}

//! Interoperability with the independent `thrift` crate: its messages are walked, and transcoded to identical bytes.

#[allow(dead_code, missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "order/order.rs"]
mod order;

use birchswitch_thrift::detect::{detect, Dialect};
use birchswitch_thrift::walk::{self, Paths, Value};
use birchswitch_thrift::{transcode, write, Limits, MessageType, Protocol};
use order::{Caller, Currency, Item, Order};
use proptest::prelude::*;
use thrift::protocol::*;

/// Encodes a message with the `thrift` crate.
fn encode(
    protocol: Protocol,
    strict: bool,
    write: impl Fn(&mut dyn TOutputProtocol) -> thrift::Result<()>,
) -> Vec<u8> {
    let mut bytes = Vec::new();
    match protocol {
        Protocol::Binary => write(&mut TBinaryOutputProtocol::new(&mut bytes, strict)),
        Protocol::Compact => write(&mut TCompactOutputProtocol::new(&mut bytes)),
    }
    .expect("it writes to memory");
    bytes
}

fn order() -> Order {
    let caller = Caller::new("dalbit".to_owned(), 480, "k-1".to_owned(), 91_000i64);
    let items = vec![
        Item::new("gem".to_owned(), 3, thrift::OrderedFloat(0.25)),
        Item::new("hat".to_owned(), 1, None),
    ];
    let notes = [("a".to_owned(), "b".to_owned()), ("c".to_owned(), "é".to_owned())].into();
    let coupons = [-7i16, 900].into();
    Order::new(
        caller,
        -5_000_000_000i64,
        items,
        Some(notes),
        Some(coupons),
        true,
        Currency::USD,
        vec![0u8, 255],
    )
}

fn call(protocol: Protocol, strict: bool, name: &str, seqid: i32) -> Vec<u8> {
    encode(protocol, strict, |out| {
        out.write_message_begin(&TMessageIdentifier::new(name, TMessageType::Call, seqid))?;
        out.write_struct_begin(&TStructIdentifier::new("args"))?;
        out.write_field_begin(&TFieldIdentifier::new("order", TType::Struct, 1))?;
        order().write_to_out_protocol(out)?;
        out.write_field_end()?;
        out.write_field_stop()?;
        out.write_struct_end()?;
        out.write_message_end()
    })
}

#[test]
fn an_order_from_generated_code_is_walked() {
    let limits = Limits::default();
    let paths = ["1.1.1", "1.1.2", "1.1.3", "1.1.4", "1.6", "1.2", "1.3", "1.9", "1.8"];
    let paths = Paths::new(paths.map(|p| Paths::parse(p).expect("a path")));
    for (protocol, strict) in [(Protocol::Binary, true), (Protocol::Binary, false), (Protocol::Compact, true)]
    {
        let bytes = call(protocol, strict, "shop:buy", -77);
        let message = walk::framed_message(protocol, &bytes, &paths, &limits).expect("a message");
        assert_eq!(message.header.service_and_method(), (Some("shop"), "buy"));
        assert_eq!((message.header.kind, message.header.seqid), (MessageType::Call, -77));
        assert_eq!(message.header.strict, strict);
        let list = birchswitch_thrift::ValueType::List;
        assert_eq!(
            message.values[..],
            [
                Some(Value::Binary(b"dalbit")),
                Some(Value::I32(480)),
                Some(Value::Binary(b"k-1")),
                Some(Value::I64(91_000)),
                Some(Value::Bool(true)),
                Some(Value::I64(-5_000_000_000)),
                Some(Value::Composite(list)),
                None,
                Some(Value::Binary(&[0, 255])),
            ]
        );
    }
}

#[test]
fn an_order_is_transcoded_both_ways() {
    let limits = Limits::default();
    let (binary, compact) = (call(Protocol::Binary, true, "buy", 9), call(Protocol::Compact, true, "buy", 9));
    let transcoded = |from, bytes: &[u8]| {
        let mut out = Vec::new();
        transcode::message(&mut out, from, bytes, 9, true, &limits).expect("the message is valid");
        out
    };
    assert_eq!(transcoded(Protocol::Binary, &binary), compact);
    assert_eq!(transcoded(Protocol::Compact, &compact), binary);
}

#[test]
fn with_seqid_changes_only_the_sequence_id() {
    for protocol in [Protocol::Binary, Protocol::Compact] {
        for (from, to) in [(0, i32::MAX), (-1, 5), (300, i32::MIN)] {
            let message = call(protocol, true, "buy", from);
            let limits = Limits::default();
            let header = walk::header(protocol, &message, &limits).expect("a header");
            let mut out = Vec::new();
            write::with_seqid(&mut out, protocol, &message, &header, to);
            assert_eq!(out, call(protocol, true, "buy", to));
        }
    }
}

#[test]
fn our_exceptions_are_read_by_the_thrift_crate() {
    for protocol in [Protocol::Binary, Protocol::Compact] {
        let bytes = call(protocol, true, "buy", 1234);
        let limits = Limits::default();
        let header = walk::header(protocol, &bytes, &limits).expect("a header");
        let mut out = Vec::new();
        write::exception(
            &mut out,
            protocol,
            &header,
            write::ExceptionType::InternalError,
            "refused: try again",
        );
        let mut input: Box<dyn TInputProtocol> = match protocol {
            Protocol::Binary => Box::new(TBinaryInputProtocol::new(&out[..], true)),
            Protocol::Compact => Box::new(TCompactInputProtocol::new(&out[..])),
        };
        let read = input.read_message_begin().expect("a header");
        assert_eq!((read.message_type, read.sequence_number), (TMessageType::Exception, 1234));
        let error =
            thrift::Error::read_application_error_from_in_protocol(&mut *input).expect("an exception");
        assert_eq!(error.kind, thrift::ApplicationErrorKind::InternalError);
        assert_eq!(error.message, "refused: try again");
    }
}

#[test]
fn each_dialect_is_detected_from_its_first_bytes() {
    use Protocol::*;
    let limits = Limits::default();
    for (protocol, strict) in [(Binary, true), (Binary, false), (Compact, true)] {
        for framed in [true, false] {
            let mut bytes = vec![0; if framed { 4 } else { 0 }];
            bytes.extend(call(protocol, strict, "buy", 1));
            if framed {
                birchswitch_thrift::frame::write_length(&mut bytes);
            }
            let detected: Vec<_> = (0..=bytes.len())
                .filter_map(|n| detect(&bytes[..n], &limits).expect("a valid prefix"))
                .collect();
            let all = detected.iter().all(|d| *d == Dialect { protocol, framed });
            assert!(
                all && detected.len() >= bytes.len() - 8,
                "{protocol:?} strict {strict} framed {framed}: {detected:?}"
            );
        }
    }
    for foreign in [&b"GET / HTTP/1.1"[..], b"\x16\x03\x01\x02\x00", b"\xff", b"\x83\x21", b"\0\0\0\x05\x07"]
    {
        assert!((0..=foreign.len()).any(|n| detect(&foreign[..n], &limits).is_err()), "{foreign:?}");
    }
}

/// Values of every type that the `thrift` crate supports.
#[derive(Clone, Debug)]
enum Tree {
    Bool(bool),
    I8(i8),
    I16(i16),
    I32(i32),
    I64(i64),
    Double(f64),
    Binary(Vec<u8>),
    Struct(Vec<(i16, Tree)>),
    List(TType, Vec<Tree>),
    Set(TType, Vec<Tree>),
    Map(TType, TType, Vec<(Tree, Tree)>),
}

impl Tree {
    fn kind(&self) -> TType {
        match self {
            Tree::Bool(_) => TType::Bool,
            Tree::I8(_) => TType::I08,
            Tree::I16(_) => TType::I16,
            Tree::I32(_) => TType::I32,
            Tree::I64(_) => TType::I64,
            Tree::Double(_) => TType::Double,
            Tree::Binary(_) => TType::String,
            Tree::Struct(_) => TType::Struct,
            Tree::List(..) => TType::List,
            Tree::Set(..) => TType::Set,
            Tree::Map(..) => TType::Map,
        }
    }

    fn write(&self, out: &mut dyn TOutputProtocol) -> thrift::Result<()> {
        match self {
            Tree::Bool(v) => out.write_bool(*v),
            Tree::I8(v) => out.write_i8(*v),
            Tree::I16(v) => out.write_i16(*v),
            Tree::I32(v) => out.write_i32(*v),
            Tree::I64(v) => out.write_i64(*v),
            Tree::Double(v) => out.write_double(*v),
            Tree::Binary(v) => out.write_bytes(v),
            Tree::Struct(fields) => {
                out.write_struct_begin(&TStructIdentifier::new("s"))?;
                for (id, field) in fields {
                    out.write_field_begin(&TFieldIdentifier::new("f", field.kind(), *id))?;
                    field.write(out)?;
                    out.write_field_end()?;
                }
                out.write_field_stop()?;
                out.write_struct_end()
            }
            Tree::List(kind, items) => {
                out.write_list_begin(&TListIdentifier::new(*kind, items.len() as i32))?;
                items.iter().try_for_each(|i| i.write(out))
            }
            Tree::Set(kind, items) => {
                out.write_set_begin(&TSetIdentifier::new(*kind, items.len() as i32))?;
                items.iter().try_for_each(|i| i.write(out))
            }
            Tree::Map(key, value, pairs) => {
                out.write_map_begin(&TMapIdentifier::new(*key, *value, pairs.len() as i32))?;
                pairs.iter().try_for_each(|(k, v)| k.write(out).and_then(|()| v.write(out)))
            }
        }
    }
}

fn any_tree() -> impl Strategy<Value = Tree> {
    let leaf = prop_oneof![
        any::<bool>().prop_map(Tree::Bool),
        any::<i8>().prop_map(Tree::I8),
        any::<i16>().prop_map(Tree::I16),
        any::<i32>().prop_map(Tree::I32),
        any::<i64>().prop_map(Tree::I64),
        any::<f64>().prop_map(Tree::Double),
        prop::collection::vec(any::<u8>(), 0..40).prop_map(Tree::Binary),
    ];
    leaf.prop_recursive(4, 60, 8, |inner| {
        // The elements of a container have one type: elements of another type than the first are removed.
        let same_type = prop::collection::vec(inner.clone(), 1..20).prop_map(|mut items| {
            let kind = items[0].kind();
            items.retain(|i| i.kind() == kind);
            (kind, items)
        });
        let pairs = (same_type.clone(), same_type.clone()).prop_map(|((key, keys), (value, values))| {
            Tree::Map(key, value, keys.into_iter().zip(values).collect())
        });
        prop_oneof![
            prop::collection::vec((1i16..3000, inner), 0..8).prop_map(Tree::Struct),
            same_type.clone().prop_map(|(kind, items)| Tree::List(kind, items)),
            same_type.prop_map(|(kind, items)| Tree::Set(kind, items)),
            pairs,
        ]
    })
}

proptest! {
    /// Messages of the `thrift` crate are walked to their end with all fields found, and transcoded to what the crate
    /// writes in the other protocol. A message truncated anywhere is reported as truncated, never as complete.
    #[test]
    fn random_messages_are_walked_and_transcoded(
        fields in prop::collection::vec((1i16..3000, any_tree()), 0..6),
        seqid: i32,
        cut: prop::sample::Index,
    ) {
        let limits = Limits::default();
        let ids: Vec<[i16; 1]> = fields.iter().map(|f| [f.0]).collect();
        let paths = Paths::new(ids);
        let tree = Tree::Struct(fields.clone());
        let message = |protocol| encode(protocol, true, |out| {
            out.write_message_begin(&TMessageIdentifier::new("m", TMessageType::OneWay, seqid))?;
            tree.write(out)?;
            out.write_message_end()
        });
        let (binary, compact) = (message(Protocol::Binary), message(Protocol::Compact));
        for (protocol, bytes, other) in
            [(Protocol::Binary, &binary, &compact), (Protocol::Compact, &compact, &binary)]
        {
            let walked = walk::framed_message(protocol, bytes, &paths, &limits).expect("a message");
            prop_assert_eq!((walked.header.seqid, walked.header.kind), (seqid, MessageType::Oneway));
            for ((id, _), found) in fields.iter().zip(&walked.values) {
                // Of two fields with one id, decoders keep the last.
                let last = fields.iter().rfind(|f| f.0 == *id).map(|f| &f.1);
                let same = match (last, found) {
                    (Some(Tree::Bool(a)), Some(Value::Bool(b))) => a == b,
                    (Some(Tree::I8(a)), Some(Value::I8(b))) => a == b,
                    (Some(Tree::I16(a)), Some(Value::I16(b))) => a == b,
                    (Some(Tree::I32(a)), Some(Value::I32(b))) => a == b,
                    (Some(Tree::I64(a)), Some(Value::I64(b))) => a == b,
                    (Some(Tree::Double(a)), Some(Value::Double(b))) => a.to_bits() == b.to_bits(),
                    (Some(Tree::Binary(a)), Some(Value::Binary(b))) => a == b,
                    (Some(_), Some(Value::Composite(_))) => true,
                    _ => false,
                };
                prop_assert!(same, "{:?} found as {:?}", last, found);
            }
            let mut out = Vec::new();
            transcode::message(&mut out, protocol, bytes, seqid, true, &limits).expect("the message is valid");
            match protocol {
                // Compact encoders differ in which field ids they write as deltas.
                Protocol::Binary => {
                    let mut back = Vec::new();
                    transcode::message(&mut back, Protocol::Compact, &out, seqid, true, &limits).expect("the message is valid");
                    prop_assert_eq!(&back, bytes);
                }
                Protocol::Compact => prop_assert_eq!(&out, other),
            }
            let part = &bytes[..cut.index(bytes.len())];
            prop_assert!(walk::message(protocol, part, &paths, &limits).expect_err("the message is truncated").is_truncated());
        }
    }
}

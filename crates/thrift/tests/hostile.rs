//! Malformed and hostile input: each case fails with the offset of the fault, and no size in the input causes an
//! allocation.

use birchswitch_thrift::walk::{self, Paths};
use birchswitch_thrift::{detect, frame, transcode, ErrorKind, Limits, Protocol, SizedItem};
use proptest::prelude::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// Records the largest single allocation of each thread.
struct TrackingAllocator;

thread_local! {
    static LARGEST_ALLOCATION: Cell<usize> = const { Cell::new(0) };
}

unsafe impl GlobalAlloc for TrackingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = LARGEST_ALLOCATION.try_with(|l| l.set(l.get().max(layout.size())));
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: TrackingAllocator = TrackingAllocator;

const BINARY_HEADER: &[u8] = b"\x80\x01\x00\x01\x00\x00\x00\x01m\x00\x00\x00\x05";
const COMPACT_HEADER: &[u8] = b"\x82\x21\x05\x01m";

/// Walks and transcodes a message with this body. Both have to agree on whether it is valid. Returns the walk's error with its
/// offset in the body.
fn check_body(protocol: Protocol, body: &[u8]) -> Result<(), (usize, ErrorKind)> {
    let header = match protocol {
        Protocol::Binary => BINARY_HEADER,
        Protocol::Compact => COMPACT_HEADER,
    };
    let bytes = [header, body].concat();
    let limits = Limits { elements: 1000, string: 1000, depth: 16, ..Limits::default() };
    let in_body = |e: birchswitch_thrift::Error| (e.offset - header.len(), e.kind);
    let walked =
        walk::framed_message(protocol, &bytes, &Paths::default(), &limits).map(drop).map_err(in_body);
    let mut out = Vec::new();
    let transcoded = transcode::message(&mut out, protocol, &bytes, 0, true, &limits).map_err(in_body);
    assert_eq!(walked.is_ok(), transcoded.is_ok(), "the walk and the transcoder disagree on {body:?}");
    walked
}

#[test]
fn malformed_binary_bodies_fail_at_their_offset() {
    let error = |body: &[u8]| check_body(Protocol::Binary, body).expect_err("the body is malformed");
    let too_large = |item, size| ErrorKind::TooLarge { item, size, limit: 1000 };
    assert_eq!(error(b"\x0b\x00\x01\xff\xff\xff\xff"), (3, ErrorKind::NegativeSize(-1)));
    assert_eq!(error(b"\x0b\x00\x01\x7f\xff\xff\xff"), (3, too_large(SizedItem::String, 0x7fff_ffff)));
    assert_eq!(error(b"\x0f\x00\x01\x0c\x7f\xff\xff\xff"), (4, too_large(SizedItem::Container, 0x7fff_ffff)));
    assert_eq!(error(b"\x0d\x00\x01\x0b\x0c\x00\x00\x03\xe9"), (5, too_large(SizedItem::Container, 1001)));
    assert_eq!(error(b"\x0d\x00\x01\x0b\x0c\x80\x00\x00\x00"), (5, ErrorKind::NegativeSize(i32::MIN)));
    assert_eq!(error(b"\x05\x00\x01"), (0, ErrorKind::UnknownValueType(5)));
    assert_eq!(error(b"\x0f\x00\x01\x63\x00\x00\x00\x01"), (3, ErrorKind::UnknownValueType(0x63)));
    assert_eq!(error(b"\x00x"), (1, ErrorKind::TrailingBytes));
    assert_eq!(error(b"\x08\x00\x01\x00"), (3, ErrorKind::Truncated));
    assert_eq!(error(&b"\x0c\x00\x01".repeat(16)), (48, ErrorKind::NestingTooDeep));
    let lists = [&b"\x0f\x00\x01"[..], &b"\x0f\x00\x00\x00\x01".repeat(16)].concat();
    assert_eq!(error(&lists).1, ErrorKind::NestingTooDeep);
}

#[test]
fn malformed_compact_bodies_fail_at_their_offset() {
    let error = |body: &[u8]| check_body(Protocol::Compact, body).expect_err("the body is malformed");
    let too_large = |item, size| ErrorKind::TooLarge { item, size, limit: 1000 };
    assert_eq!(error(b"\x18\xff\xff\xff\xff\x0f"), (1, too_large(SizedItem::String, 0xffff_ffff)));
    assert_eq!(error(b"\x19\xfc\xff\xff\xff\xff\x0f"), (2, too_large(SizedItem::Container, 0xffff_ffff)));
    assert_eq!(error(b"\x1b\xe9\x07\x88"), (1, too_large(SizedItem::Container, 1001)));
    assert_eq!(error(b"\x15\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"), (1, ErrorKind::InvalidVarint));
    assert_eq!(error(b"\x15\xff\xff\xff\xff\x1f"), (1, ErrorKind::InvalidVarint));
    assert_eq!(error(b"\x16\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02"), (1, ErrorKind::InvalidVarint));
    assert_eq!(error(b"\x1e"), (0, ErrorKind::UnknownValueType(14)));
    assert_eq!(error(b"\x1b\x01\x0f\x00"), (2, ErrorKind::UnknownValueType(0)));
    assert_eq!(error(b"\x05\xfe\xff\x03\x00\x15\x00"), (5, ErrorKind::FieldIdOverflow));
    assert_eq!(error(&b"\x1c".repeat(16)), (16, ErrorKind::NestingTooDeep));
    assert_eq!(error(b"\x00\x00"), (1, ErrorKind::TrailingBytes));
    assert_eq!(error(b"\x15"), (1, ErrorKind::Truncated));
}

/// The `thrift` crate that the interoperability tests use has no UUIDs, so these bytes are written by hand from the
/// specifications.
#[test]
fn uuids_are_found_and_transcoded() {
    let uuid: Vec<u8> = (1..=16).collect();
    // Field 1, a UUID; field 2, a list of two of them; field 3, true.
    let binary =
        [BINARY_HEADER, b"\x10\0\x01", &uuid, b"\x0f\0\x02\x10\0\0\0\x02", &uuid, &uuid, b"\x02\0\x03\x01\0"]
            .concat();
    let compact = [COMPACT_HEADER, b"\x1d", &uuid, b"\x19\x2d", &uuid, &uuid, b"\x11\0"].concat();
    let (limits, paths) = (Limits::default(), Paths::new([[1i16], [2], [3]]));
    for (protocol, bytes, other) in
        [(Protocol::Binary, &binary, &compact), (Protocol::Compact, &compact, &binary)]
    {
        let message = walk::framed_message(protocol, bytes, &paths, &limits).expect("a message");
        let found: [u8; 16] = uuid.clone().try_into().expect("sixteen bytes");
        assert_eq!(message.values[0], Some(walk::Value::Uuid(found)));
        assert_eq!(message.values[2], Some(walk::Value::Bool(true)));
        let mut out = Vec::new();
        transcode::message(&mut out, protocol, bytes, 5, true, &limits).expect("the message is valid");
        assert_eq!(&out, other);
    }
}

#[test]
fn invalid_headers_are_rejected() {
    let limits = Limits::default();
    let error_kind =
        |protocol, bytes: &[u8]| walk::header(protocol, bytes, &limits).expect_err("malformed").kind;
    use Protocol::*;
    assert_eq!(error_kind(Binary, b"\x80\x02\x00\x01"), ErrorKind::UnknownVersion(0x8002));
    assert_eq!(error_kind(Binary, b"\x80\x01\x00\x05"), ErrorKind::UnknownMessageType(5));
    assert_eq!(error_kind(Binary, b"\x80\x01\x00\x01\xff\xff\xff\xff"), ErrorKind::NegativeSize(-1));
    assert_eq!(error_kind(Binary, b"\x80\x01\x00\x01\x00\x00\x00\x01\xff"), ErrorKind::NameNotUtf8);
    assert_eq!(
        error_kind(Binary, b"GET / HTTP/1.1\r\n"),
        ErrorKind::TooLarge { item: SizedItem::Name, size: 0x4745_5420, limit: 256 }
    );
    assert_eq!(error_kind(Binary, b"\x00\x00\x00\x00"), ErrorKind::NoHeader);
    assert_eq!(error_kind(Compact, b"\x82\x22\x00"), ErrorKind::UnknownVersion(2));
    assert_eq!(error_kind(Compact, b"\x82\xe1\x00"), ErrorKind::UnknownMessageType(7));
    assert_eq!(error_kind(Compact, b"\x80\x01"), ErrorKind::NoHeader);
    assert_eq!(
        error_kind(Compact, b"\x82\x21\x00\x80\x80\x80\x80\x08"),
        ErrorKind::TooLarge { item: SizedItem::Name, size: 1 << 31, limit: 256 }
    );
}

#[test]
fn invalid_frame_lengths_are_rejected() {
    let limits = Limits { message: 100, ..Limits::default() };
    assert_eq!(frame::length(b"\x00\x00\x00", &limits), Ok(None));
    assert_eq!(frame::length(b"\x00\x00\x00\x64", &limits), Ok(Some(100)));
    let error_kind = |bytes: &[u8]| frame::length(bytes, &limits).expect_err("malformed").kind;
    assert_eq!(
        error_kind(b"\x00\x00\x00\x65"),
        ErrorKind::TooLarge { item: SizedItem::Frame, size: 101, limit: 100 }
    );
    assert_eq!(error_kind(b"\xff\xff\xff\xff"), ErrorKind::NegativeSize(-1));
    assert_eq!(error_kind(b"\x00\x00\x00\x00"), ErrorKind::NoHeader);
}

/// An unframed message without an end is rejected as soon as it reaches the size limit, instead of being read forever.
#[test]
fn an_unframed_message_is_bounded() {
    let limits = Limits { message: 64, ..Limits::default() };
    let endless = [BINARY_HEADER, &b"\x08\x00\x01\x00\x00\x00\x00".repeat(20)].concat();
    let error =
        |n| walk::message(Protocol::Binary, &endless[..n], &Paths::default(), &limits).expect_err("no end");
    assert!(error(63).is_truncated());
    for n in [64, 65, endless.len()] {
        let too_large = ErrorKind::TooLarge { item: SizedItem::Message, size: 65, limit: 64 };
        assert_eq!(error(n).kind, too_large);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    /// Arbitrary bytes, alone or after a valid header, cause no panic, no endless loop and no large allocation.
    #[test]
    fn arbitrary_bytes_are_handled(
        body in prop::collection::vec(prop_oneof![Just(0x0cu8), Just(0x1c), Just(0xff), Just(0), any::<u8>()], 0..300),
        with_header: bool,
    ) {
        let paths = Paths::new([[1i16, 1], [1, 2]]);
        let limits = Limits::default();
        for (protocol, header) in [(Protocol::Binary, BINARY_HEADER), (Protocol::Compact, COMPACT_HEADER)] {
            let bytes = if with_header { [header, &body].concat() } else { body.clone() };
            LARGEST_ALLOCATION.set(0);
            let walked = walk::message(protocol, &bytes, &paths, &limits);
            prop_assert!(walked.as_ref().map_or_else(|e| e.offset, |m| m.end) <= bytes.len());
            let mut out = Vec::new();
            let _ = transcode::message(&mut out, protocol, &bytes, 0, true, &limits);
            prop_assert!(LARGEST_ALLOCATION.get() < 64 << 10, "{}", LARGEST_ALLOCATION.get());
            let _ = detect::detect(&bytes, &limits);
            let _ = frame::length(&bytes, &limits);
        }
    }
}

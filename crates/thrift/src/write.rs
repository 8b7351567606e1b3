//! Writes messages in both protocols, including the exceptions that a proxy replies with.

use crate::read::COMPACT_ID;
use crate::walk::Header;
use crate::{MessageType, Protocol, ValueType};

/// Appends encoded values to a buffer.
pub trait Writer {
    /// Writes a message header. `strict` adds the version word in the binary protocol; the compact protocol always has a
    /// version.
    fn header(&mut self, kind: MessageType, name: &str, seqid: i32, strict: bool);
    /// Writes a field header after the field with id `last`. `value` is the value of a bool field; returns whether the
    /// header includes it.
    fn field(&mut self, kind: ValueType, id: i16, last: i16, value: Option<bool>) -> bool;
    /// Writes the end of a struct.
    fn stop(&mut self);
    /// Writes the header of a list or set.
    fn list(&mut self, element: ValueType, size: usize);
    /// Writes a map header. The types may be unknown if the map is empty.
    fn map(&mut self, types: Option<(ValueType, ValueType)>, size: usize);
    /// Writes a string or binary value.
    fn binary(&mut self, bytes: &[u8]);
    /// Writes a bool as a container element, or as a field whose header does not include the value.
    fn bool(&mut self, value: bool);
    /// Writes an 8-bit integer.
    fn i8(&mut self, value: i8);
    /// Writes a 16-bit integer.
    fn i16(&mut self, value: i16);
    /// Writes a 32-bit integer.
    fn i32(&mut self, value: i32);
    /// Writes a 64-bit integer.
    fn i64(&mut self, value: i64);
    /// Writes a double.
    fn double(&mut self, value: f64);
    /// Writes the sixteen bytes of a UUID.
    fn uuid(&mut self, value: &[u8]);
}

/// Writes the binary protocol.
pub struct Binary<'a>(pub &'a mut Vec<u8>);

impl Binary<'_> {
    fn type_code(kind: ValueType) -> u8 {
        match kind {
            ValueType::Bool => 2,
            ValueType::I8 => 3,
            ValueType::Double => 4,
            ValueType::I16 => 6,
            ValueType::I32 => 8,
            ValueType::I64 => 10,
            ValueType::Binary => 11,
            ValueType::Struct => 12,
            ValueType::Map => 13,
            ValueType::Set => 14,
            ValueType::List => 15,
            ValueType::Uuid => 16,
        }
    }

    fn size(&mut self, size: usize) {
        // Sizes come from input that was read within limits, or from short texts, so they fit.
        self.i32(i32::try_from(size).unwrap_or(i32::MAX));
    }
}

impl Writer for Binary<'_> {
    fn header(&mut self, kind: MessageType, name: &str, seqid: i32, strict: bool) {
        if strict {
            self.0.extend_from_slice(&[0x80, 0x01, 0, kind as u8]);
            self.binary(name.as_bytes());
        } else {
            self.binary(name.as_bytes());
            self.0.push(kind as u8);
        }
        self.i32(seqid);
    }

    fn field(&mut self, kind: ValueType, id: i16, _: i16, _: Option<bool>) -> bool {
        self.0.push(Self::type_code(kind));
        self.i16(id);
        false
    }

    fn stop(&mut self) {
        self.0.push(0);
    }

    fn list(&mut self, element: ValueType, size: usize) {
        self.0.push(Self::type_code(element));
        self.size(size);
    }

    fn map(&mut self, types: Option<(ValueType, ValueType)>, size: usize) {
        let types = types.map_or([0, 0], |(key, value)| [Self::type_code(key), Self::type_code(value)]);
        self.0.extend_from_slice(&types);
        self.size(size);
    }

    fn binary(&mut self, bytes: &[u8]) {
        self.size(bytes.len());
        self.0.extend_from_slice(bytes);
    }

    fn bool(&mut self, value: bool) {
        self.0.push(value.into());
    }

    fn i8(&mut self, value: i8) {
        self.0.push(value as u8);
    }

    fn i16(&mut self, value: i16) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    fn i32(&mut self, value: i32) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    fn i64(&mut self, value: i64) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    fn double(&mut self, value: f64) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    fn uuid(&mut self, value: &[u8]) {
        self.0.extend_from_slice(value);
    }
}

/// Writes the compact protocol.
pub struct Compact<'a>(pub &'a mut Vec<u8>);

impl Compact<'_> {
    fn type_code(kind: ValueType) -> u8 {
        match kind {
            ValueType::Bool => 1,
            ValueType::I8 => 3,
            ValueType::I16 => 4,
            ValueType::I32 => 5,
            ValueType::I64 => 6,
            ValueType::Double => 7,
            ValueType::Binary => 8,
            ValueType::List => 9,
            ValueType::Set => 10,
            ValueType::Map => 11,
            ValueType::Struct => 12,
            ValueType::Uuid => 13,
        }
    }

    fn varint(&mut self, mut value: u64) {
        while value >= 0x80 {
            self.0.push(value as u8 | 0x80);
            value >>= 7;
        }
        self.0.push(value as u8);
    }

    fn zigzag(&mut self, value: i64) {
        self.varint(((value << 1) ^ (value >> 63)) as u64);
    }
}

impl Writer for Compact<'_> {
    fn header(&mut self, kind: MessageType, name: &str, seqid: i32, _: bool) {
        self.0.extend_from_slice(&[COMPACT_ID, (kind as u8) << 5 | 1]);
        self.varint(u64::from(seqid as u32));
        self.binary(name.as_bytes());
    }

    fn field(&mut self, kind: ValueType, id: i16, last: i16, value: Option<bool>) -> bool {
        let code = if value == Some(false) { 2 } else { Self::type_code(kind) };
        match i32::from(id) - i32::from(last) {
            delta @ 1..=15 => self.0.push((delta as u8) << 4 | code),
            _ => {
                self.0.push(code);
                self.zigzag(id.into());
            }
        }
        kind == ValueType::Bool
    }

    fn stop(&mut self) {
        self.0.push(0);
    }

    fn list(&mut self, element: ValueType, size: usize) {
        match size {
            0..=14 => self.0.push((size as u8) << 4 | Self::type_code(element)),
            _ => {
                self.0.push(0xf0 | Self::type_code(element));
                self.varint(size as u64);
            }
        }
    }

    fn map(&mut self, types: Option<(ValueType, ValueType)>, size: usize) {
        self.varint(size as u64);
        if let Some((key, value)) = types.filter(|_| size > 0) {
            self.0.push(Self::type_code(key) << 4 | Self::type_code(value));
        }
    }

    fn binary(&mut self, bytes: &[u8]) {
        self.varint(bytes.len() as u64);
        self.0.extend_from_slice(bytes);
    }

    fn bool(&mut self, value: bool) {
        self.0.push(if value { 1 } else { 2 });
    }

    fn i8(&mut self, value: i8) {
        self.0.push(value as u8);
    }

    fn i16(&mut self, value: i16) {
        self.zigzag(value.into());
    }

    fn i32(&mut self, value: i32) {
        self.zigzag(value.into());
    }

    fn i64(&mut self, value: i64) {
        self.zigzag(value);
    }

    fn double(&mut self, value: f64) {
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    fn uuid(&mut self, value: &[u8]) {
        self.0.extend_from_slice(value);
    }
}

/// The types of `TApplicationException`, with Thrift's numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExceptionType {
    /// An unspecified error.
    Unknown = 0,
    /// The method is unknown.
    UnknownMethod = 1,
    /// The message type is unexpected.
    InvalidMessageType = 2,
    /// The reply names another method.
    WrongMethodName = 3,
    /// The reply has the sequence id of another call.
    BadSequenceId = 4,
    /// The reply has no result.
    MissingResult = 5,
    /// The server failed internally.
    InternalError = 6,
    /// The message is malformed.
    ProtocolError = 7,
    /// The transform is unknown.
    InvalidTransform = 8,
    /// The protocol is unknown.
    InvalidProtocol = 9,
    /// The client's type is not supported.
    UnsupportedClientType = 10,
}

/// Appends a `TApplicationException` as the reply to a call.
pub fn exception(out: &mut Vec<u8>, protocol: Protocol, call: &Header, kind: ExceptionType, text: &str) {
    fn write(writer: &mut impl Writer, call: &Header, kind: ExceptionType, text: &str) {
        writer.header(MessageType::Exception, call.service_and_method().1, call.seqid, call.strict);
        writer.field(ValueType::Binary, 1, 0, None);
        writer.binary(text.as_bytes());
        writer.field(ValueType::I32, 2, 1, None);
        writer.i32(kind as i32);
        writer.stop();
    }
    match protocol {
        Protocol::Binary => write(&mut Binary(out), call, kind, text),
        Protocol::Compact => write(&mut Compact(out), call, kind, text),
    }
}

/// Appends a message with another sequence id, otherwise unchanged byte for byte.
pub fn with_seqid(out: &mut Vec<u8>, protocol: Protocol, message: &[u8], header: &Header, seqid: i32) {
    let (from, to) = header.seqid_range;
    out.extend_from_slice(&message[..from]);
    match protocol {
        Protocol::Binary => Binary(out).i32(seqid),
        Protocol::Compact => Compact(out).varint(u64::from(seqid as u32)),
    }
    out.extend_from_slice(&message[to..]);
}

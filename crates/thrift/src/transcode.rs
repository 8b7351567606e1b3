//! Converts messages from one protocol to the other, value by value.
//!
//! Both protocols have the same types, so only the encoding changes. Three things are lost because one of the protocols
//! can't express them: the types of an empty map (compact has none; binary then has `0, 0`, which decoders accept as an
//! empty map), whether a binary header is strict, and bool bytes other than 0 and 1.

use crate::read::{self, Cursor, Field, Reader};
use crate::walk::read_header;
use crate::write::{self, Writer};
use crate::{Error, ErrorKind, Limits, Protocol, ValueType};

/// Appends a complete message in the other protocol, with another sequence id. `strict` selects the header of a binary
/// message.
///
/// Fails with the same errors as walking the message; the output is incomplete then and has to be discarded.
pub fn message(
    out: &mut Vec<u8>,
    from: Protocol,
    bytes: &[u8],
    seqid: i32,
    strict: bool,
    limits: &Limits,
) -> Result<(), Error> {
    let cursor = Cursor { bytes, position: 0, limits };
    match from {
        Protocol::Binary => transcode(read::Binary::new(cursor), write::Compact(out), seqid, strict),
        Protocol::Compact => transcode(read::Compact::new(cursor), write::Binary(out), seqid, strict),
    }
}

fn transcode<'a, R: Reader<'a>, W: Writer>(
    mut reader: R,
    mut writer: W,
    seqid: i32,
    strict: bool,
) -> Result<(), Error> {
    let header = read_header(&mut reader)?;
    writer.header(header.kind, header.name, seqid, strict);
    transcode_value(&mut reader, &mut writer, ValueType::Struct, 0)?;
    let cursor = reader.cursor();
    match cursor.position == cursor.bytes.len() {
        true => Ok(()),
        false => cursor.error(cursor.position, ErrorKind::TrailingBytes),
    }
}

fn transcode_value<'a, R: Reader<'a>, W: Writer>(
    reader: &mut R,
    writer: &mut W,
    kind: ValueType,
    depth: u32,
) -> Result<(), Error> {
    let cursor = reader.cursor();
    if depth >= cursor.limits.depth {
        return cursor.error(cursor.position, ErrorKind::NestingTooDeep);
    }
    let inner = depth + 1;
    match kind {
        ValueType::Bool => writer.bool(reader.bool()?),
        ValueType::I8 => writer.i8(reader.cursor().take(1)?[0] as i8),
        ValueType::I16 => writer.i16(reader.i16()?),
        ValueType::I32 => writer.i32(reader.i32()?),
        ValueType::I64 => writer.i64(reader.i64()?),
        ValueType::Double => writer.double(reader.double()?),
        ValueType::Binary => writer.binary(reader.binary()?),
        ValueType::Uuid => writer.uuid(reader.cursor().take(16)?),
        ValueType::Struct => {
            let mut last = 0;
            while let Some(Field { id, kind, value: bool_value }) = reader.field(last)? {
                // The compact protocol encodes a bool's value in the field header, so it is read before the header is
                // written.
                let bool_value = match (kind, bool_value) {
                    (ValueType::Bool, None) => Some(reader.bool()?),
                    (_, bool_value) => bool_value,
                };
                let written = writer.field(kind, id, last, bool_value);
                match bool_value {
                    Some(bool_value) if !written => writer.bool(bool_value),
                    Some(_) => {}
                    None => transcode_value(reader, writer, kind, inner)?,
                }
                last = id;
            }
            writer.stop();
        }
        ValueType::List | ValueType::Set => {
            let (element, size) = reader.list()?;
            writer.list(element, size);
            (0..size).try_for_each(|_| transcode_value(reader, writer, element, inner))?;
        }
        ValueType::Map => {
            let (types, size) = reader.map()?;
            writer.map(types, size);
            if let Some((key, value)) = types {
                for _ in 0..size {
                    transcode_value(reader, writer, key, inner)?;
                    transcode_value(reader, writer, value, inner)?;
                }
            }
        }
    }
    Ok(())
}

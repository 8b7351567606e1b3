//! Turns a message of one protocol into the other, type by type.
//!
//! Every type has one on the other side, so that nothing changes but the encoding. Three things can't be kept, since one of the
//! protocols doesn't have them: the types of an empty map (compact has none; binary then says `0, 0`, which decoders take
//! for an empty map), the version word of an old binary header, and bytes of a bool other than 0 and 1.

use crate::read::{self, Cursor, Field, Reader};
use crate::walk::read_header;
use crate::write::{self, Writer};
use crate::{Error, ErrorKind, Limits, Protocol, ValueType};

/// Appends a whole message in the other protocol, under a sequence id. A `strict` header is wanted of the binary one.
///
/// Errors: whatever a walk over it finds; what was appended by then is to be thrown away.
pub fn message(
    out: &mut Vec<u8>,
    from: Protocol,
    bytes: &[u8],
    seqid: i32,
    strict: bool,
    limits: &Limits,
) -> Result<(), Error> {
    let cursor = Cursor { bytes, at: 0, limits };
    match from {
        Protocol::Binary => run(read::Binary::new(cursor), write::Compact(out), seqid, strict),
        Protocol::Compact => run(read::Compact::new(cursor), write::Binary(out), seqid, strict),
    }
}

fn run<'a, R: Reader<'a>, W: Writer>(
    mut reader: R,
    mut writer: W,
    seqid: i32,
    strict: bool,
) -> Result<(), Error> {
    let header = read_header(&mut reader)?;
    writer.header(header.kind, header.name, seqid, strict);
    value(&mut reader, &mut writer, ValueType::Struct, 0)?;
    let cursor = reader.cursor();
    match cursor.at == cursor.bytes.len() {
        true => Ok(()),
        false => cursor.error(cursor.at, ErrorKind::TrailingBytes),
    }
}

fn value<'a, R: Reader<'a>, W: Writer>(
    reader: &mut R,
    writer: &mut W,
    kind: ValueType,
    depth: u32,
) -> Result<(), Error> {
    let cursor = reader.cursor();
    if depth >= cursor.limits.depth {
        return cursor.error(cursor.at, ErrorKind::NestingTooDeep);
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
            while let Some(Field { id, kind, value: held }) = reader.field(last)? {
                // The compact protocol has a bool's value in the header, so that it has to be read first.
                let held = match (kind, held) {
                    (ValueType::Bool, None) => Some(reader.bool()?),
                    (_, held) => held,
                };
                let written = writer.field(kind, id, last, held);
                match held {
                    Some(held) if !written => writer.bool(held),
                    Some(_) => {}
                    None => value(reader, writer, kind, inner)?,
                }
                last = id;
            }
            writer.stop();
        }
        ValueType::List | ValueType::Set => {
            let (element, size) = reader.list()?;
            writer.list(element, size);
            (0..size).try_for_each(|_| value(reader, writer, element, inner))?;
        }
        ValueType::Map => {
            let (types, size) = reader.map()?;
            writer.map(types, size);
            if let Some((key, held)) = types {
                for _ in 0..size {
                    value(reader, writer, key, inner)?;
                    value(reader, writer, held, inner)?;
                }
            }
        }
    }
    Ok(())
}

//! Finds a message's header, selected fields and end in one pass, and skips everything else.

use crate::read::{Binary, Compact, Cursor, Field, Reader};
use crate::{Error, ErrorKind, Limits, MessageType, Protocol, SizedItem, ValueType};
use smallvec::SmallVec;

/// A message header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header<'a> {
    /// The message type.
    pub kind: MessageType,
    /// The method's name, or `service:method` for multiplexed services.
    pub name: &'a str,
    /// The sequence id, which matches replies to calls.
    pub seqid: i32,
    /// Whether a binary header has a version word; always true for compact headers.
    pub strict: bool,
    /// Start and end offsets of the sequence id.
    pub seqid_range: (usize, usize),
    /// Offset of the arguments or the result.
    pub body_offset: usize,
}

impl Header<'_> {
    /// The service, if the name is multiplexed, and the method.
    pub fn service_and_method(&self) -> (Option<&str>, &str) {
        match self.name.split_once(':') {
            Some((service, method)) => (Some(service), method),
            None => (None, self.name),
        }
    }
}

/// A field's value. Structs and containers are not decoded.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs)] // Named as in Thrift.
pub enum Value<'a> {
    Bool(bool),
    I8(i8),
    I16(i16),
    I32(i32),
    I64(i64),
    Double(f64),
    Binary(&'a [u8]),
    Uuid([u8; 16]),
    /// A struct or container of this type.
    Composite(ValueType),
}

impl Value<'_> {
    /// The value as an integer, if it is one.
    pub fn integer(&self) -> Option<i64> {
        match *self {
            Value::I8(n) => Some(n.into()),
            Value::I16(n) => Some(n.into()),
            Value::I32(n) => Some(n.into()),
            Value::I64(n) => Some(n),
            _ => None,
        }
    }

    /// The value as a floating-point number, if it is numeric.
    pub fn number(&self) -> Option<f64> {
        match *self {
            Value::Double(n) => Some(n),
            _ => self.integer().map(|n| n as f64),
        }
    }
}

/// The fields to find, each given by the field ids that lead to it from the arguments or the result: `1.3` is field 3 of
/// the struct in field 1. Built once and used for every message.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    root: Node,
    count: usize,
}

#[derive(Clone, Debug, Default)]
struct Node {
    /// Indexes of the paths that end here.
    path_indexes: Vec<usize>,
    children: Vec<(i16, Node)>,
}

/// The text is not a path of field ids.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no path of field ids: expected numbers separated by dots, such as 1.3")]
pub struct PathError(String);

impl Paths {
    /// Combines paths. The values of a message are in the same order.
    pub fn new<P: AsRef<[i16]>>(paths: impl IntoIterator<Item = P>) -> Self {
        let mut all = Paths::default();
        for path in paths {
            let mut node = &mut all.root;
            for &id in path.as_ref() {
                let at = node.children.iter().position(|c| c.0 == id).unwrap_or_else(|| {
                    node.children.push((id, Node::default()));
                    node.children.len() - 1
                });
                node = &mut node.children[at].1;
            }
            node.path_indexes.push(all.count);
            all.count += 1;
        }
        all
    }

    /// Parses a path such as `1.3`.
    pub fn parse(text: &str) -> Result<Vec<i16>, PathError> {
        text.split('.').map(|id| id.parse().map_err(|_| PathError(text.to_owned()))).collect()
    }

    /// The number of paths.
    pub fn count(&self) -> usize {
        self.count
    }
}

/// The values found, in the order of [`Paths`]. Up to six are stored inline, without an allocation.
pub type Values<'a> = SmallVec<[Option<Value<'a>>; 6]>;

/// A complete message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message<'a> {
    /// The header.
    pub header: Header<'a>,
    /// The values of the requested fields. If a field occurs twice, the last value is kept, as decoders do.
    pub values: Values<'a>,
    /// Offset of the message's end.
    pub end: usize,
}

/// Reads only the message header.
pub fn header<'a>(protocol: Protocol, bytes: &'a [u8], limits: &'a Limits) -> Result<Header<'a>, Error> {
    let cursor = Cursor { bytes, position: 0, limits };
    match protocol {
        Protocol::Binary => read_header(&mut Binary::new(cursor)),
        Protocol::Compact => read_header(&mut Compact::new(cursor)),
    }
}

/// Walks the message at the start of `bytes`; later bytes are ignored. A message over the size limit is an error as soon
/// as that is known, even if it is incomplete.
pub fn message<'a>(
    protocol: Protocol,
    bytes: &'a [u8],
    paths: &Paths,
    limits: &'a Limits,
) -> Result<Message<'a>, Error> {
    let too_long = bytes.len() > limits.message;
    let bytes = &bytes[..bytes.len().min(limits.message)];
    let cursor = Cursor { bytes, position: 0, limits };
    let walked = match protocol {
        Protocol::Binary => Walker::new(Binary::new(cursor), paths).walk(paths),
        Protocol::Compact => Walker::new(Compact::new(cursor), paths).walk(paths),
    };
    let (item, limit) = (SizedItem::Message, limits.message as u32);
    match walked {
        Err(e) if e.is_truncated() && (too_long || bytes.len() == limits.message) => {
            let size = limit.saturating_add(1);
            Err(Error { offset: 0, kind: ErrorKind::TooLarge { item, size, limit } })
        }
        walked => walked,
    }
}

/// As [`message`], for the content of a frame: a message that ends before or after the frame's end is an error.
pub fn framed_message<'a>(
    protocol: Protocol,
    bytes: &'a [u8],
    paths: &Paths,
    limits: &'a Limits,
) -> Result<Message<'a>, Error> {
    let message = message(protocol, bytes, paths, limits)?;
    match message.end == bytes.len() {
        true => Ok(message),
        false => Err(Error { offset: message.end, kind: ErrorKind::TrailingBytes }),
    }
}

pub(crate) fn read_header<'a, R: Reader<'a>>(reader: &mut R) -> Result<Header<'a>, Error> {
    let raw = reader.header()?;
    Ok(Header {
        kind: raw.kind,
        name: raw.name,
        seqid: raw.seqid,
        strict: raw.strict,
        seqid_range: raw.seqid_range,
        body_offset: reader.cursor().position,
    })
}

struct Walker<'a, R> {
    reader: R,
    values: Values<'a>,
    depth: u32,
}

impl<'a, R: Reader<'a>> Walker<'a, R> {
    fn new(reader: R, paths: &Paths) -> Self {
        Walker { reader, values: smallvec::smallvec![None; paths.count], depth: 0 }
    }

    fn walk(mut self, paths: &Paths) -> Result<Message<'a>, Error> {
        let header = read_header(&mut self.reader)?;
        match paths.count {
            0 => self.skip(ValueType::Struct)?,
            _ => self.walk_struct(&paths.root)?,
        }
        Ok(Message { header, values: self.values, end: self.reader.cursor().position })
    }

    /// Walks a struct that may contain requested fields.
    fn walk_struct(&mut self, node: &Node) -> Result<(), Error> {
        self.enter()?;
        let mut last = 0;
        while let Some(field) = self.reader.field(last)? {
            last = field.id;
            match node.children.iter().find(|c| c.0 == field.id) {
                None => self.skip_field(field)?,
                Some((_, child)) if field.kind == ValueType::Struct && !child.children.is_empty() => {
                    self.store(child, Value::Composite(ValueType::Struct));
                    self.walk_struct(child)?;
                }
                Some((_, child)) => {
                    let value = self.value(field)?;
                    self.store(child, value);
                }
            }
        }
        self.depth -= 1;
        Ok(())
    }

    fn store(&mut self, node: &Node, value: Value<'a>) {
        node.path_indexes.iter().for_each(|&index| self.values[index] = Some(value));
    }

    fn value(&mut self, field: Field) -> Result<Value<'a>, Error> {
        if let Some(value) = field.value {
            return Ok(Value::Bool(value));
        }
        let reader = &mut self.reader;
        Ok(match field.kind {
            ValueType::Bool => Value::Bool(reader.bool()?),
            ValueType::I8 => Value::I8(reader.cursor().take(1)?[0] as i8),
            ValueType::I16 => Value::I16(reader.i16()?),
            ValueType::I32 => Value::I32(reader.i32()?),
            ValueType::I64 => Value::I64(reader.i64()?),
            ValueType::Double => Value::Double(reader.double()?),
            ValueType::Binary => Value::Binary(reader.binary()?),
            ValueType::Uuid => {
                let mut uuid = [0; 16];
                uuid.copy_from_slice(reader.cursor().take(16)?);
                Value::Uuid(uuid)
            }
            kind => {
                self.skip(kind)?;
                Value::Composite(kind)
            }
        })
    }

    #[inline(always)]
    fn skip_field(&mut self, field: Field) -> Result<(), Error> {
        match field.value {
            Some(_) => Ok(()),
            None => self.skip(field.kind),
        }
    }

    #[inline(always)]
    fn enter(&mut self) -> Result<(), Error> {
        self.depth += 1;
        let cursor = self.reader.cursor();
        match self.depth > cursor.limits.depth {
            true => cursor.error(cursor.position, ErrorKind::NestingTooDeep),
            false => Ok(()),
        }
    }

    fn skip(&mut self, kind: ValueType) -> Result<(), Error> {
        match kind {
            ValueType::Binary => self.reader.binary().map(drop),
            ValueType::Struct => {
                self.enter()?;
                let mut last = 0;
                while let Some(field) = self.reader.field(last)? {
                    last = field.id;
                    self.skip_field(field)?;
                }
                self.depth -= 1;
                Ok(())
            }
            ValueType::List | ValueType::Set => {
                self.enter()?;
                let (element, size) = self.reader.list()?;
                self.skip_elements(element, size)?;
                self.depth -= 1;
                Ok(())
            }
            ValueType::Map => {
                self.enter()?;
                let (types, size) = self.reader.map()?;
                if let Some((key, value)) = types {
                    match (R::fixed_width(key), R::fixed_width(value)) {
                        (Some(k), Some(v)) => self.skip_fixed(size, k + v)?,
                        _ => (0..size).try_for_each(|_| self.skip(key).and_then(|()| self.skip(value)))?,
                    }
                }
                self.depth -= 1;
                Ok(())
            }
            scalar => self.reader.skip_scalar(scalar),
        }
    }

    /// Skips `size` elements. Every element takes at least one byte, so a false size runs into the end of the input.
    fn skip_elements(&mut self, kind: ValueType, size: usize) -> Result<(), Error> {
        match R::fixed_width(kind) {
            Some(width) => self.skip_fixed(size, width),
            None => (0..size).try_for_each(|_| self.skip(kind)),
        }
    }

    fn skip_fixed(&mut self, size: usize, width: usize) -> Result<(), Error> {
        self.reader.cursor().take(size.saturating_mul(width)).map(drop)
    }
}

//! Finds a message's header, chosen fields and end in one pass, and skips everything else.

use crate::read::{Binary, Compact, Cursor, Field, Reader};
use crate::{Error, ErrorKind, Limits, MessageType, Protocol, SizedItem, ValueType};
use smallvec::SmallVec;

/// A message's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header<'a> {
    /// What the message is.
    pub kind: MessageType,
    /// The method's name, `service:method` where services share a connection.
    pub name: &'a str,
    /// What a reply is matched by.
    pub seqid: i32,
    /// Whether a binary header has its version word; always true of compact ones.
    pub strict: bool,
    /// Where the sequence id lies, from and to.
    pub seqid_range: (usize, usize),
    /// Where the arguments or the result begin.
    pub body_offset: usize,
}

impl Header<'_> {
    /// The service, where several share a connection, and the method.
    pub fn service_and_method(&self) -> (Option<&str>, &str) {
        match self.name.split_once(':') {
            Some((service, method)) => (Some(service), method),
            None => (None, self.name),
        }
    }
}

/// A value that was found. Structs and containers are named by their kind only.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs)] // They are Thrift's own names.
pub enum Value<'a> {
    Bool(bool),
    I8(i8),
    I16(i16),
    I32(i32),
    I64(i64),
    Double(f64),
    Binary(&'a [u8]),
    Uuid([u8; 16]),
    /// A struct or container.
    Composite(ValueType),
}

impl Value<'_> {
    /// A whole number as such.
    pub fn integer(&self) -> Option<i64> {
        match *self {
            Value::I8(n) => Some(n.into()),
            Value::I16(n) => Some(n.into()),
            Value::I32(n) => Some(n.into()),
            Value::I64(n) => Some(n),
            _ => None,
        }
    }

    /// Any number as a floating one.
    pub fn number(&self) -> Option<f64> {
        match *self {
            Value::Double(n) => Some(n),
            _ => self.integer().map(|n| n as f64),
        }
    }
}

/// Fields to look for, each by the ids that lead to it from the arguments or the result: `1.3` is field 3 of the struct in
/// field 1. Made once, used for every message.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    root: Node,
    count: usize,
}

#[derive(Clone, Debug, Default)]
struct Node {
    /// Which paths end here.
    leaves: Vec<usize>,
    children: Vec<(i16, Node)>,
}

/// Why a text is no path of field ids.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no path of field ids: wanted numbers with points between, such as 1.3")]
pub struct PathError(String);

impl Paths {
    /// Of these paths; a message's values come in the same order.
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
            node.leaves.push(all.count);
            all.count += 1;
        }
        all
    }

    /// Reads a path.
    pub fn parse(text: &str) -> Result<Vec<i16>, PathError> {
        text.split('.').map(|id| id.parse().map_err(|_| PathError(text.to_owned()))).collect()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.count
    }
}

/// The values of [`Paths`], in their order; a handful needs no allocation.
pub type Values<'a> = SmallVec<[Option<Value<'a>>; 6]>;

/// A message that is whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Message<'a> {
    /// Its header.
    pub header: Header<'a>,
    /// The fields that were looked for; of one that comes twice the last, as decoders have it.
    pub values: Values<'a>,
    /// Where it ends.
    pub end: usize,
}

/// Reads a message's header only.
pub fn header<'a>(protocol: Protocol, bytes: &'a [u8], limits: &'a Limits) -> Result<Header<'a>, Error> {
    let cursor = Cursor { bytes, at: 0, limits };
    match protocol {
        Protocol::Binary => read_header(&mut Binary::new(cursor)),
        Protocol::Compact => read_header(&mut Compact::new(cursor)),
    }
}

/// Walks over a message that begins with the first byte. What is behind it is not looked at; one that is longer than
/// allowed, whole or not, is an error as soon as that is known.
pub fn message<'a>(
    protocol: Protocol,
    bytes: &'a [u8],
    paths: &Paths,
    limits: &'a Limits,
) -> Result<Message<'a>, Error> {
    let too_long = bytes.len() > limits.message;
    let bytes = &bytes[..bytes.len().min(limits.message)];
    let cursor = Cursor { bytes, at: 0, limits };
    let walked = match protocol {
        Protocol::Binary => Walker::new(Binary::new(cursor), paths).walk(paths),
        Protocol::Compact => Walker::new(Compact::new(cursor), paths).walk(paths),
    };
    let (what, limit) = (SizedItem::Message, limits.message as u32);
    match walked {
        Err(e) if e.is_truncated() && (too_long || bytes.len() == limits.message) => {
            let size = limit.saturating_add(1);
            Err(Error { offset: 0, kind: ErrorKind::TooLarge { what, size, limit } })
        }
        walked => walked,
    }
}

/// The same for a frame's content, which is one whole message: one that ends early or late is an error.
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
        body_offset: reader.cursor().at,
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
            _ => self.look_through(&paths.root)?,
        }
        Ok(Message { header, values: self.values, end: self.reader.cursor().at })
    }

    /// Goes through a struct in which fields are looked for.
    fn look_through(&mut self, node: &Node) -> Result<(), Error> {
        self.enter()?;
        let mut last = 0;
        while let Some(field) = self.reader.field(last)? {
            last = field.id;
            match node.children.iter().find(|c| c.0 == field.id) {
                None => self.skip_field(field)?,
                Some((_, child)) if field.kind == ValueType::Struct && !child.children.is_empty() => {
                    self.set(child, Value::Composite(ValueType::Struct));
                    self.look_through(child)?;
                }
                Some((_, child)) => {
                    let value = self.value(field)?;
                    self.set(child, value);
                }
            }
        }
        self.depth -= 1;
        Ok(())
    }

    fn set(&mut self, node: &Node, value: Value<'a>) {
        node.leaves.iter().for_each(|&leaf| self.values[leaf] = Some(value));
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
            true => cursor.error(cursor.at, ErrorKind::NestingTooDeep),
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
                self.skip_many(element, size)?;
                self.depth -= 1;
                Ok(())
            }
            ValueType::Map => {
                self.enter()?;
                let (types, size) = self.reader.map()?;
                if let Some((key, value)) = types {
                    match (R::width(key), R::width(value)) {
                        (Some(k), Some(v)) => self.jump(size, k + v)?,
                        _ => (0..size).try_for_each(|_| self.skip(key).and_then(|()| self.skip(value)))?,
                    }
                }
                self.depth -= 1;
                Ok(())
            }
            number => self.reader.skip_number(number),
        }
    }

    /// So many elements; no element takes less than a byte, so that a false size ends with the input.
    fn skip_many(&mut self, kind: ValueType, size: usize) -> Result<(), Error> {
        match R::width(kind) {
            Some(width) => self.jump(size, width),
            None => (0..size).try_for_each(|_| self.skip(kind)),
        }
    }

    fn jump(&mut self, size: usize, width: usize) -> Result<(), Error> {
        self.reader.cursor().take(size.saturating_mul(width)).map(drop)
    }
}

//! Cursors over both protocols, with one face.

use crate::{Error, ErrorKind, Limits, MessageType, SizedItem, ValueType};

/// A message's header, as read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RawHeader<'a> {
    pub(crate) kind: MessageType,
    pub(crate) name: &'a str,
    pub(crate) seqid: i32,
    /// Binary only: with a version word.
    pub(crate) strict: bool,
    /// Where the sequence id lies.
    pub(crate) seqid_range: (usize, usize),
}

/// A field's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Field {
    pub(crate) id: i16,
    pub(crate) kind: ValueType,
    /// The compact protocol keeps a bool's value here.
    pub(crate) value: Option<bool>,
}

/// Bytes and how far they are read.
#[derive(Clone, Copy)]
pub(crate) struct Cursor<'a> {
    pub(crate) bytes: &'a [u8],
    pub(crate) at: usize,
    pub(crate) limits: &'a Limits,
}

impl<'a> Cursor<'a> {
    #[cold]
    pub(crate) fn error<T>(&self, offset: usize, kind: ErrorKind) -> Result<T, Error> {
        Err(Error { offset, kind })
    }

    #[inline(always)]
    pub(crate) fn take(&mut self, n: usize) -> Result<&'a [u8], Error> {
        match self.bytes.get(self.at..).and_then(|rest| rest.get(..n)) {
            Some(bytes) => {
                self.at += n;
                Ok(bytes)
            }
            None => self.error(self.at, ErrorKind::Truncated),
        }
    }

    #[inline(always)]
    fn byte(&mut self) -> Result<u8, Error> {
        match self.bytes.get(self.at) {
            Some(byte) => {
                self.at += 1;
                Ok(*byte)
            }
            None => self.error(self.at, ErrorKind::Truncated),
        }
    }

    #[inline(always)]
    fn array<const N: usize>(&mut self) -> Result<[u8; N], Error> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// An unsigned varint of at most so many bits. Most are of one byte.
    #[inline(always)]
    fn varint(&mut self, bits: u32) -> Result<u64, Error> {
        match self.bytes.get(self.at) {
            Some(&byte) if byte < 0x80 => {
                self.at += 1;
                Ok(byte.into())
            }
            _ => self.long_varint(bits),
        }
    }

    fn long_varint(&mut self, bits: u32) -> Result<u64, Error> {
        let start = self.at;
        let (mut value, mut shift) = (0u64, 0);
        while shift < bits {
            let byte = self.byte()?;
            let part = u64::from(byte & 0x7f);
            // What doesn't fit is not cut off: it would be another value.
            if bits - shift < 7 && part >> (bits - shift) != 0 {
                return self.error(start, ErrorKind::InvalidVarint);
            }
            value |= part << shift;
            if byte < 0x80 {
                return Ok(value);
            }
            shift += 7;
        }
        self.error(start, ErrorKind::InvalidVarint)
    }

    /// A signed varint, zigzag.
    #[inline(always)]
    fn zigzag(&mut self, bits: u32) -> Result<i64, Error> {
        let value = self.varint(bits)?;
        Ok((value >> 1) as i64 ^ -((value & 1) as i64))
    }

    #[inline(always)]
    fn checked(&self, at: usize, what: SizedItem, size: u32, limit: usize) -> Result<usize, Error> {
        if size as usize <= limit {
            return Ok(size as usize);
        }
        self.error(at, ErrorKind::TooLarge { what, size, limit: limit as u32 })
    }

    fn name(&mut self, at: usize, length: usize) -> Result<&'a str, Error> {
        let bytes = self.take(length)?;
        std::str::from_utf8(bytes).or_else(|_| self.error(at, ErrorKind::NameNotUtf8))
    }
}

/// What a walker wants of a protocol.
pub(crate) trait Reader<'a>: Sized {
    fn new(cursor: Cursor<'a>) -> Self;
    fn cursor(&mut self) -> &mut Cursor<'a>;
    fn header(&mut self) -> Result<RawHeader<'a>, Error>;
    /// The next field after one of id `last`; None at the struct's end.
    fn field(&mut self, last: i16) -> Result<Option<Field>, Error>;
    /// A list's or set's element type and size.
    fn list(&mut self) -> Result<(ValueType, usize), Error>;
    /// A map's key and value types and its size; an empty one may not tell types.
    fn map(&mut self) -> Result<(Option<(ValueType, ValueType)>, usize), Error>;
    fn binary(&mut self) -> Result<&'a [u8], Error>;
    /// A bool as an element.
    fn bool(&mut self) -> Result<bool, Error>;
    fn i16(&mut self) -> Result<i16, Error>;
    fn i32(&mut self) -> Result<i32, Error>;
    fn i64(&mut self) -> Result<i64, Error>;
    fn double(&mut self) -> Result<f64, Error>;
    /// The width of a type, where all its values have the same.
    fn width(kind: ValueType) -> Option<usize>;
    /// Skips a varint or a fixed number without looking at its value.
    fn skip_number(&mut self, kind: ValueType) -> Result<(), Error>;
}

/// The binary protocol.
pub(crate) struct Binary<'a>(Cursor<'a>);

/// Upper half of the first word of a strict header.
const STRICT: u16 = 0x8001;

impl<'a> Binary<'a> {
    #[inline(always)]
    fn kind(&self, at: usize, number: u8) -> Result<ValueType, Error> {
        Ok(match number {
            2 => ValueType::Bool,
            3 => ValueType::I8,
            4 => ValueType::Double,
            6 => ValueType::I16,
            8 => ValueType::I32,
            10 => ValueType::I64,
            11 => ValueType::Binary,
            12 => ValueType::Struct,
            13 => ValueType::Map,
            14 => ValueType::Set,
            15 => ValueType::List,
            16 => ValueType::Uuid,
            _ => return self.0.error(at, ErrorKind::UnknownValueType(number)),
        })
    }

    #[inline(always)]
    fn size(&mut self, what: SizedItem, limit: usize) -> Result<usize, Error> {
        let at = self.0.at;
        let size = self.i32()?;
        match u32::try_from(size) {
            Ok(size) => self.0.checked(at, what, size, limit),
            Err(_) => self.0.error(at, ErrorKind::NegativeSize(size)),
        }
    }
}

impl<'a> Reader<'a> for Binary<'a> {
    fn new(cursor: Cursor<'a>) -> Self {
        Binary(cursor)
    }

    #[inline(always)]
    fn cursor(&mut self) -> &mut Cursor<'a> {
        &mut self.0
    }

    fn header(&mut self) -> Result<RawHeader<'a>, Error> {
        let at = self.0.at;
        let first = self.0.array::<4>()?;
        let limit = self.0.limits.name;
        if first[0] & 0x80 != 0 {
            let version = u16::from_be_bytes([first[0], first[1]]);
            if version != STRICT {
                return self.0.error(at, ErrorKind::UnknownVersion(version));
            }
            let kind = MessageType::read(first[3]).or_else(|p| self.0.error(at + 3, p))?;
            let length = self.size(SizedItem::Name, limit)?;
            let name = self.0.name(at + 8, length)?;
            let seqid_range = (self.0.at, self.0.at + 4);
            let seqid = self.i32()?;
            return Ok(RawHeader { kind, name, seqid, strict: true, seqid_range });
        }
        let length = self.0.checked(at, SizedItem::Name, u32::from_be_bytes(first), limit)?;
        if length == 0 {
            return self.0.error(at, ErrorKind::NoHeader);
        }
        let name = self.0.name(at + 4, length)?;
        let kind_at = self.0.at;
        let kind = self.0.byte()?;
        let kind = MessageType::read(kind).or_else(|p| self.0.error(kind_at, p))?;
        let seqid_range = (self.0.at, self.0.at + 4);
        let seqid = self.i32()?;
        Ok(RawHeader { kind, name, seqid, strict: false, seqid_range })
    }

    #[inline(always)]
    fn field(&mut self, _: i16) -> Result<Option<Field>, Error> {
        let at = self.0.at;
        // One look for the common case.
        if let Some(&[number @ 1..=255, high, low]) = self.0.bytes.get(at..).and_then(|b| b.first_chunk()) {
            self.0.at += 3;
            let kind = self.kind(at, number)?;
            return Ok(Some(Field { id: i16::from_be_bytes([high, low]), kind, value: None }));
        }
        match self.0.byte()? {
            0 => Ok(None),
            number => {
                self.kind(at, number)?;
                self.0.error(at + 1, ErrorKind::Truncated)
            }
        }
    }

    fn list(&mut self) -> Result<(ValueType, usize), Error> {
        let at = self.0.at;
        let number = self.0.byte()?;
        let limit = self.0.limits.elements;
        let size = self.size(SizedItem::Container, limit)?;
        // An empty one may name no type.
        let kind = if number == 0 && size == 0 { ValueType::Bool } else { self.kind(at, number)? };
        Ok((kind, size))
    }

    fn map(&mut self) -> Result<(Option<(ValueType, ValueType)>, usize), Error> {
        let at = self.0.at;
        let (key, value) = (self.0.byte()?, self.0.byte()?);
        let limit = self.0.limits.elements;
        let size = self.size(SizedItem::Container, limit)?;
        if size == 0 && (key, value) == (0, 0) {
            return Ok((None, 0));
        }
        Ok((Some((self.kind(at, key)?, self.kind(at + 1, value)?)), size))
    }

    #[inline(always)]
    fn binary(&mut self) -> Result<&'a [u8], Error> {
        let limit = self.0.limits.string;
        let length = self.size(SizedItem::String, limit)?;
        self.0.take(length)
    }

    fn bool(&mut self) -> Result<bool, Error> {
        Ok(self.0.byte()? != 0)
    }

    #[inline(always)]
    fn i16(&mut self) -> Result<i16, Error> {
        Ok(i16::from_be_bytes(self.0.array()?))
    }

    #[inline(always)]
    fn i32(&mut self) -> Result<i32, Error> {
        Ok(i32::from_be_bytes(self.0.array()?))
    }

    fn i64(&mut self) -> Result<i64, Error> {
        Ok(i64::from_be_bytes(self.0.array()?))
    }

    fn double(&mut self) -> Result<f64, Error> {
        Ok(f64::from_be_bytes(self.0.array()?))
    }

    #[inline(always)]
    fn width(kind: ValueType) -> Option<usize> {
        match kind {
            ValueType::Bool | ValueType::I8 => Some(1),
            ValueType::I16 => Some(2),
            ValueType::I32 => Some(4),
            ValueType::I64 | ValueType::Double => Some(8),
            ValueType::Uuid => Some(16),
            ValueType::Binary | ValueType::Struct | ValueType::Map | ValueType::Set | ValueType::List => None,
        }
    }

    #[inline(always)]
    fn skip_number(&mut self, kind: ValueType) -> Result<(), Error> {
        self.0.take(Self::width(kind).unwrap_or(0)).map(drop)
    }
}

/// The compact protocol.
pub(crate) struct Compact<'a>(Cursor<'a>);

pub(crate) const COMPACT_ID: u8 = 0x82;
/// Lower five bits of the second byte.
const COMPACT_VERSION: u8 = 1;

impl<'a> Compact<'a> {
    #[inline(always)]
    fn kind(&self, at: usize, number: u8) -> Result<ValueType, Error> {
        Ok(match number {
            1 | 2 => ValueType::Bool,
            3 => ValueType::I8,
            4 => ValueType::I16,
            5 => ValueType::I32,
            6 => ValueType::I64,
            7 => ValueType::Double,
            8 => ValueType::Binary,
            9 => ValueType::List,
            10 => ValueType::Set,
            11 => ValueType::Map,
            12 => ValueType::Struct,
            13 => ValueType::Uuid,
            _ => return self.0.error(at, ErrorKind::UnknownValueType(number)),
        })
    }

    #[inline(always)]
    fn size(&mut self, what: SizedItem, limit: usize) -> Result<usize, Error> {
        let at = self.0.at;
        let size = self.0.varint(32)? as u32;
        self.0.checked(at, what, size, limit)
    }
}

impl<'a> Reader<'a> for Compact<'a> {
    fn new(cursor: Cursor<'a>) -> Self {
        Compact(cursor)
    }

    #[inline(always)]
    fn cursor(&mut self) -> &mut Cursor<'a> {
        &mut self.0
    }

    fn header(&mut self) -> Result<RawHeader<'a>, Error> {
        let at = self.0.at;
        if self.0.byte()? != COMPACT_ID {
            return self.0.error(at, ErrorKind::NoHeader);
        }
        let second = self.0.byte()?;
        if second & 0x1f != COMPACT_VERSION {
            return self.0.error(at + 1, ErrorKind::UnknownVersion(u16::from(second & 0x1f)));
        }
        let kind = MessageType::read(second >> 5).or_else(|p| self.0.error(at + 1, p))?;
        let seqid_from = self.0.at;
        // Written as a plain varint of the 32 bits, not zigzag.
        let seqid = self.0.varint(32)? as u32 as i32;
        let seqid_range = (seqid_from, self.0.at);
        let limit = self.0.limits.name;
        let length = self.size(SizedItem::Name, limit)?;
        let name_at = self.0.at;
        let name = self.0.name(name_at, length)?;
        Ok(RawHeader { kind, name, seqid, strict: true, seqid_range })
    }

    #[inline(always)]
    fn field(&mut self, last: i16) -> Result<Option<Field>, Error> {
        let at = self.0.at;
        let byte = self.0.byte()?;
        if byte == 0 {
            return Ok(None);
        }
        let number = byte & 0x0f;
        let kind = self.kind(at, number)?;
        let value = (kind == ValueType::Bool).then_some(number == 1);
        let id = match byte >> 4 {
            0 => self.0.zigzag(16)? as i16,
            delta => match last.checked_add(i16::from(delta)) {
                Some(id) => id,
                None => return self.0.error(at, ErrorKind::FieldIdOverflow),
            },
        };
        Ok(Some(Field { id, kind, value }))
    }

    fn list(&mut self) -> Result<(ValueType, usize), Error> {
        let at = self.0.at;
        let byte = self.0.byte()?;
        let limit = self.0.limits.elements;
        let size = match byte >> 4 {
            15 => self.size(SizedItem::Container, limit)?,
            size => self.0.checked(at, SizedItem::Container, size.into(), limit)?,
        };
        let number = byte & 0x0f;
        let kind = if number == 0 && size == 0 { ValueType::Bool } else { self.kind(at, number)? };
        Ok((kind, size))
    }

    fn map(&mut self) -> Result<(Option<(ValueType, ValueType)>, usize), Error> {
        let limit = self.0.limits.elements;
        let size = self.size(SizedItem::Container, limit)?;
        if size == 0 {
            return Ok((None, 0));
        }
        let at = self.0.at;
        let types = self.0.byte()?;
        Ok((Some((self.kind(at, types >> 4)?, self.kind(at, types & 0x0f)?)), size))
    }

    #[inline(always)]
    fn binary(&mut self) -> Result<&'a [u8], Error> {
        let limit = self.0.limits.string;
        let length = self.size(SizedItem::String, limit)?;
        self.0.take(length)
    }

    fn bool(&mut self) -> Result<bool, Error> {
        Ok(self.0.byte()? == 1)
    }

    fn i16(&mut self) -> Result<i16, Error> {
        Ok(self.0.zigzag(16)? as i16)
    }

    fn i32(&mut self) -> Result<i32, Error> {
        Ok(self.0.zigzag(32)? as i32)
    }

    fn i64(&mut self) -> Result<i64, Error> {
        self.0.zigzag(64)
    }

    fn double(&mut self) -> Result<f64, Error> {
        Ok(f64::from_le_bytes(self.0.array()?))
    }

    #[inline(always)]
    fn width(kind: ValueType) -> Option<usize> {
        match kind {
            ValueType::Bool | ValueType::I8 => Some(1),
            ValueType::Double => Some(8),
            ValueType::Uuid => Some(16),
            _ => None,
        }
    }

    #[inline(always)]
    fn skip_number(&mut self, kind: ValueType) -> Result<(), Error> {
        match kind {
            ValueType::I16 => self.0.varint(16).map(drop),
            ValueType::I32 => self.0.varint(32).map(drop),
            ValueType::I64 => self.0.varint(64).map(drop),
            _ => self.0.take(Self::width(kind).unwrap_or(0)).map(drop),
        }
    }
}

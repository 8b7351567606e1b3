//! Readers for both protocols behind the common [`Reader`] trait.

use crate::{Error, ErrorKind, Limits, MessageType, SizedItem, ValueType};

/// A message header as encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RawHeader<'a> {
    pub(crate) kind: MessageType,
    pub(crate) name: &'a str,
    pub(crate) seqid: i32,
    /// Binary only: whether the header has a version word.
    pub(crate) strict: bool,
    /// Start and end offsets of the sequence id.
    pub(crate) seqid_range: (usize, usize),
}

/// A field header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Field {
    pub(crate) id: i16,
    pub(crate) kind: ValueType,
    /// The value of a bool field, which the compact protocol encodes in the header.
    pub(crate) value: Option<bool>,
}

/// The input and the read position.
#[derive(Clone, Copy)]
pub(crate) struct Cursor<'a> {
    pub(crate) bytes: &'a [u8],
    pub(crate) position: usize,
    pub(crate) limits: &'a Limits,
}

impl<'a> Cursor<'a> {
    #[cold]
    pub(crate) fn error<T>(&self, offset: usize, kind: ErrorKind) -> Result<T, Error> {
        Err(Error { offset, kind })
    }

    #[inline(always)]
    pub(crate) fn take(&mut self, n: usize) -> Result<&'a [u8], Error> {
        match self.bytes.get(self.position..).and_then(|rest| rest.get(..n)) {
            Some(bytes) => {
                self.position += n;
                Ok(bytes)
            }
            None => self.error(self.position, ErrorKind::Truncated),
        }
    }

    #[inline(always)]
    fn byte(&mut self) -> Result<u8, Error> {
        match self.bytes.get(self.position) {
            Some(byte) => {
                self.position += 1;
                Ok(*byte)
            }
            None => self.error(self.position, ErrorKind::Truncated),
        }
    }

    #[inline(always)]
    fn array<const N: usize>(&mut self) -> Result<[u8; N], Error> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// Reads an unsigned varint of at most `bits` bits. The fast path is a single byte, the most common length.
    #[inline(always)]
    fn varint(&mut self, bits: u32) -> Result<u64, Error> {
        match self.bytes.get(self.position) {
            Some(&byte) if byte < 0x80 => {
                self.position += 1;
                Ok(byte.into())
            }
            _ => self.multi_byte_varint(bits),
        }
    }

    fn multi_byte_varint(&mut self, bits: u32) -> Result<u64, Error> {
        let start = self.position;
        let (mut value, mut shift) = (0u64, 0);
        while shift < bits {
            let byte = self.byte()?;
            let part = u64::from(byte & 0x7f);
            // A value that doesn't fit is an error, since truncating it would change the value.
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

    /// Reads a zigzag-encoded signed varint.
    #[inline(always)]
    fn zigzag(&mut self, bits: u32) -> Result<i64, Error> {
        let value = self.varint(bits)?;
        Ok((value >> 1) as i64 ^ -((value & 1) as i64))
    }

    #[inline(always)]
    fn check_limit(&self, offset: usize, item: SizedItem, size: u32, limit: usize) -> Result<usize, Error> {
        if size as usize <= limit {
            return Ok(size as usize);
        }
        self.error(offset, ErrorKind::TooLarge { item, size, limit: limit as u32 })
    }

    fn name(&mut self, at: usize, length: usize) -> Result<&'a str, Error> {
        let bytes = self.take(length)?;
        std::str::from_utf8(bytes).or_else(|_| self.error(at, ErrorKind::NameNotUtf8))
    }
}

/// Reads the elements of one protocol.
pub(crate) trait Reader<'a>: Sized {
    fn new(cursor: Cursor<'a>) -> Self;
    fn cursor(&mut self) -> &mut Cursor<'a>;
    fn header(&mut self) -> Result<RawHeader<'a>, Error>;
    /// The header of the field after the one with id `last`; `None` at the end of the struct.
    fn field(&mut self, last: i16) -> Result<Option<Field>, Error>;
    /// The element type and size of a list or set.
    fn list(&mut self) -> Result<(ValueType, usize), Error>;
    /// A map's key and value types and its size. An empty map may be encoded without types.
    fn map(&mut self) -> Result<(Option<(ValueType, ValueType)>, usize), Error>;
    fn binary(&mut self) -> Result<&'a [u8], Error>;
    /// A bool as a container element or binary field, not in a compact field header.
    fn bool(&mut self) -> Result<bool, Error>;
    fn i16(&mut self) -> Result<i16, Error>;
    fn i32(&mut self) -> Result<i32, Error>;
    fn i64(&mut self) -> Result<i64, Error>;
    fn double(&mut self) -> Result<f64, Error>;
    /// The encoded size of a type, if it is the same for all values.
    fn fixed_width(kind: ValueType) -> Option<usize>;
    /// Skips a varint or fixed-width value without decoding it.
    fn skip_scalar(&mut self, kind: ValueType) -> Result<(), Error>;
}

/// Reads the binary protocol.
pub(crate) struct Binary<'a>(Cursor<'a>);

/// The upper half of the first word of a strict header: the version.
const STRICT_VERSION: u16 = 0x8001;

impl<'a> Binary<'a> {
    #[inline(always)]
    fn value_type(&self, at: usize, code: u8) -> Result<ValueType, Error> {
        Ok(match code {
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
            _ => return self.0.error(at, ErrorKind::UnknownValueType(code)),
        })
    }

    #[inline(always)]
    fn size(&mut self, item: SizedItem, limit: usize) -> Result<usize, Error> {
        let at = self.0.position;
        let size = self.i32()?;
        match u32::try_from(size) {
            Ok(size) => self.0.check_limit(at, item, size, limit),
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
        let at = self.0.position;
        let first = self.0.array::<4>()?;
        let limit = self.0.limits.name;
        if first[0] & 0x80 != 0 {
            let version = u16::from_be_bytes([first[0], first[1]]);
            if version != STRICT_VERSION {
                return self.0.error(at, ErrorKind::UnknownVersion(version));
            }
            let kind = MessageType::from_code(first[3]).or_else(|p| self.0.error(at + 3, p))?;
            let length = self.size(SizedItem::Name, limit)?;
            let name = self.0.name(at + 8, length)?;
            let seqid_range = (self.0.position, self.0.position + 4);
            let seqid = self.i32()?;
            return Ok(RawHeader { kind, name, seqid, strict: true, seqid_range });
        }
        let length = self.0.check_limit(at, SizedItem::Name, u32::from_be_bytes(first), limit)?;
        if length == 0 {
            return self.0.error(at, ErrorKind::NoHeader);
        }
        let name = self.0.name(at + 4, length)?;
        let kind_at = self.0.position;
        let kind = self.0.byte()?;
        let kind = MessageType::from_code(kind).or_else(|p| self.0.error(kind_at, p))?;
        let seqid_range = (self.0.position, self.0.position + 4);
        let seqid = self.i32()?;
        Ok(RawHeader { kind, name, seqid, strict: false, seqid_range })
    }

    #[inline(always)]
    fn field(&mut self, _: i16) -> Result<Option<Field>, Error> {
        let at = self.0.position;
        // Fast path: a complete field header, checked with one bounds check.
        if let Some(&[code @ 1..=255, high, low]) = self.0.bytes.get(at..).and_then(|b| b.first_chunk()) {
            self.0.position += 3;
            let kind = self.value_type(at, code)?;
            return Ok(Some(Field { id: i16::from_be_bytes([high, low]), kind, value: None }));
        }
        match self.0.byte()? {
            0 => Ok(None),
            code => {
                self.value_type(at, code)?;
                self.0.error(at + 1, ErrorKind::Truncated)
            }
        }
    }

    fn list(&mut self) -> Result<(ValueType, usize), Error> {
        let at = self.0.position;
        let code = self.0.byte()?;
        let limit = self.0.limits.elements;
        let size = self.size(SizedItem::Container, limit)?;
        // An empty list may have no element type.
        let kind = if code == 0 && size == 0 { ValueType::Bool } else { self.value_type(at, code)? };
        Ok((kind, size))
    }

    fn map(&mut self) -> Result<(Option<(ValueType, ValueType)>, usize), Error> {
        let at = self.0.position;
        let (key, value) = (self.0.byte()?, self.0.byte()?);
        let limit = self.0.limits.elements;
        let size = self.size(SizedItem::Container, limit)?;
        if size == 0 && (key, value) == (0, 0) {
            return Ok((None, 0));
        }
        Ok((Some((self.value_type(at, key)?, self.value_type(at + 1, value)?)), size))
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
    fn fixed_width(kind: ValueType) -> Option<usize> {
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
    fn skip_scalar(&mut self, kind: ValueType) -> Result<(), Error> {
        self.0.take(Self::fixed_width(kind).unwrap_or(0)).map(drop)
    }
}

/// Reads the compact protocol.
pub(crate) struct Compact<'a>(Cursor<'a>);

/// The first byte of a compact message.
pub(crate) const COMPACT_ID: u8 = 0x82;
/// The lower five bits of the second byte of a compact message.
const COMPACT_VERSION: u8 = 1;

impl<'a> Compact<'a> {
    #[inline(always)]
    fn value_type(&self, at: usize, code: u8) -> Result<ValueType, Error> {
        Ok(match code {
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
            _ => return self.0.error(at, ErrorKind::UnknownValueType(code)),
        })
    }

    #[inline(always)]
    fn size(&mut self, item: SizedItem, limit: usize) -> Result<usize, Error> {
        let at = self.0.position;
        let size = self.0.varint(32)? as u32;
        self.0.check_limit(at, item, size, limit)
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
        let at = self.0.position;
        if self.0.byte()? != COMPACT_ID {
            return self.0.error(at, ErrorKind::NoHeader);
        }
        let second = self.0.byte()?;
        if second & 0x1f != COMPACT_VERSION {
            return self.0.error(at + 1, ErrorKind::UnknownVersion(u16::from(second & 0x1f)));
        }
        let kind = MessageType::from_code(second >> 5).or_else(|p| self.0.error(at + 1, p))?;
        let seqid_from = self.0.position;
        // Encoded as a plain varint of the 32 bits, not as zigzag.
        let seqid = self.0.varint(32)? as u32 as i32;
        let seqid_range = (seqid_from, self.0.position);
        let limit = self.0.limits.name;
        let length = self.size(SizedItem::Name, limit)?;
        let name_at = self.0.position;
        let name = self.0.name(name_at, length)?;
        Ok(RawHeader { kind, name, seqid, strict: true, seqid_range })
    }

    #[inline(always)]
    fn field(&mut self, last: i16) -> Result<Option<Field>, Error> {
        let at = self.0.position;
        let byte = self.0.byte()?;
        if byte == 0 {
            return Ok(None);
        }
        let code = byte & 0x0f;
        let kind = self.value_type(at, code)?;
        let value = (kind == ValueType::Bool).then_some(code == 1);
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
        let at = self.0.position;
        let byte = self.0.byte()?;
        let limit = self.0.limits.elements;
        let size = match byte >> 4 {
            15 => self.size(SizedItem::Container, limit)?,
            size => self.0.check_limit(at, SizedItem::Container, size.into(), limit)?,
        };
        let code = byte & 0x0f;
        let kind = if code == 0 && size == 0 { ValueType::Bool } else { self.value_type(at, code)? };
        Ok((kind, size))
    }

    fn map(&mut self) -> Result<(Option<(ValueType, ValueType)>, usize), Error> {
        let limit = self.0.limits.elements;
        let size = self.size(SizedItem::Container, limit)?;
        if size == 0 {
            return Ok((None, 0));
        }
        let at = self.0.position;
        let types = self.0.byte()?;
        Ok((Some((self.value_type(at, types >> 4)?, self.value_type(at, types & 0x0f)?)), size))
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
    fn fixed_width(kind: ValueType) -> Option<usize> {
        match kind {
            ValueType::Bool | ValueType::I8 => Some(1),
            ValueType::Double => Some(8),
            ValueType::Uuid => Some(16),
            _ => None,
        }
    }

    #[inline(always)]
    fn skip_scalar(&mut self, kind: ValueType) -> Result<(), Error> {
        match kind {
            ValueType::I16 => self.0.varint(16).map(drop),
            ValueType::I32 => self.0.varint(32).map(drop),
            ValueType::I64 => self.0.varint(64).map(drop),
            _ => self.0.take(Self::fixed_width(kind).unwrap_or(0)).map(drop),
        }
    }
}

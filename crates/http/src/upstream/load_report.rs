//! Load reports: a JSON object with the site's own names of fields.

use birchswitch_site::{Names, ReportField};
use finchvale::LoadReport;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, Visitor};
use std::borrow::Cow;
use std::fmt;

/// Parses a load report. `None` if it is malformed or has none of the known fields.
pub(super) fn parse(text: &[u8], names: &Names, fields: &[ReportField]) -> Option<LoadReport> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let report = ReportReader { names, fields }.deserialize(&mut reader).ok()?;
    reader.end().ok()?;
    (report != LoadReport::default()).then_some(report)
}

/// Deserializes a load report field by field without an intermediate map, since every probe returns one.
struct ReportReader<'a> {
    names: &'a Names,
    fields: &'a [ReportField],
}

impl<'de> DeserializeSeed<'de> for ReportReader<'_> {
    type Value = LoadReport;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<LoadReport, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ReportReader<'_> {
    type Value = LoadReport;

    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("a load report")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut values: A) -> Result<LoadReport, A::Error> {
        let mut report = LoadReport::default();
        while let Some(name) = values.next_key::<Cow<str>>()? {
            match self.names.fields.iter().position(|f| *f == name).and_then(|at| self.fields.get(at)) {
                Some(field) => field.store(values.next_value()?, &mut report),
                None => drop(values.next_value::<IgnoredAny>()?),
            }
        }
        Ok(report)
    }
}

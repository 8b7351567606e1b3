//! The `[mesh]` table of an operator's file.

use birchswitch_cluster_host::{SettingError, SettingSpans};
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// Default limit of open connections.
const DEFAULT_CONNECTIONS: usize = 512;

/// The table as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshTable {
    bind: Spanned<SocketAddr>,
    advertise: Option<Spanned<SocketAddr>>,
    connections: Option<Spanned<usize>>,
}

/// The validated settings of a mesh.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// The address to listen on. Its IP is also the source address of outgoing connections.
    pub bind: SocketAddr,
    /// The address at which others connect, if not `bind`.
    pub advertise: Option<SocketAddr>,
    /// Most open connections, each of which takes a file descriptor.
    pub connections: usize,
}

impl MeshTable {
    /// Validates the settings, each by itself and in combination.
    pub fn compile(self) -> Result<MeshSettings, SettingError> {
        let mut spans = SettingSpans::new("bind", &self.bind);
        let advertise = spans.record("advertise", &self.advertise).copied();
        let connections =
            spans.record("connections", &self.connections).copied().unwrap_or(DEFAULT_CONNECTIONS);
        let bind = *self.bind.get_ref();
        if let Some(address) = advertise.filter(|a| a.ip().is_unspecified() || a.port() == 0) {
            let problem = format!("others have to be able to connect to `advertise`, not to {address}");
            return Err(spans.error_at("advertise", problem));
        }
        if advertise.is_none() && bind.ip().is_unspecified() {
            let problem = "`bind` is every address: name in `advertise` where others connect to";
            return Err(spans.error_at("bind", problem));
        }
        if !(4..=16_384).contains(&connections) {
            return Err(spans.error_at("connections", "`connections` has to be 4 to 16384"));
        }
        Ok(MeshSettings { bind, advertise, connections })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn errors_point_at_the_offending_setting() {
        let compile = |text: &str| toml::from_str::<MeshTable>(text).expect("a well-formed table").compile();
        let plain = compile("bind = \"127.0.0.1:0\"").expect("a valid table");
        assert_eq!((plain.connections, plain.advertise), (DEFAULT_CONNECTIONS, None));
        for (text, expected) in [
            ("bind = \"0.0.0.0:7950\"", "\"0.0.0.0:7950\""),
            ("bind = \"127.0.0.1:0\"\nadvertise = \"10.0.0.1:0\"", "\"10.0.0.1:0\""),
            ("bind = \"127.0.0.1:0\"\nconnections = 3", "3"),
        ] {
            let error = compile(text).expect_err(text);
            assert_eq!(&text[error.span], expected);
        }
    }
}

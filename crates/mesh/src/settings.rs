//! The `[mesh]` table of an operator's file.

use birchswitch_cluster_host::{SettingError, SettingSpans};
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// Connections that a mesh may hold where nothing is said.
const CONNECTIONS: usize = 512;

/// The table as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshTable {
    bind: Spanned<SocketAddr>,
    advertise: Option<Spanned<SocketAddr>>,
    connections: Option<Spanned<usize>>,
}

/// The table, checked.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Where it listens, and from where it dials.
    pub bind: SocketAddr,
    /// Where others connect to, if not where it listens.
    pub advertise: Option<SocketAddr>,
    /// Connections that it may hold: descriptors.
    pub connections: usize,
}

impl MeshTable {
    /// Checks each setting by itself and beside the others.
    pub fn compile(self) -> Result<MeshSettings, SettingError> {
        let mut places = SettingSpans::new("bind", &self.bind);
        let advertise = places.record("advertise", &self.advertise).copied();
        let connections = places.record("connections", &self.connections).copied().unwrap_or(CONNECTIONS);
        let bind = *self.bind.get_ref();
        if let Some(address) = advertise.filter(|a| a.ip().is_unspecified() || a.port() == 0) {
            let problem = format!("others have to be able to connect to `advertise`, not to {address}");
            return Err(places.error_at("advertise", problem));
        }
        if advertise.is_none() && bind.ip().is_unspecified() {
            let problem = "`bind` is every address: name in `advertise` where others connect to";
            return Err(places.error_at("bind", problem));
        }
        if !(4..=16_384).contains(&connections) {
            return Err(places.error_at("connections", "`connections` has to be 4 to 16384"));
        }
        Ok(MeshSettings { bind, advertise, connections })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn mistakes_are_told_where_they_are() {
        let compile = |text: &str| toml::from_str::<MeshTable>(text).expect("its form is right").compile();
        let plain = compile("bind = \"127.0.0.1:0\"").expect("it is right");
        assert_eq!((plain.connections, plain.advertise), (CONNECTIONS, None));
        for (text, place) in [
            ("bind = \"0.0.0.0:7950\"", "\"0.0.0.0:7950\""),
            ("bind = \"127.0.0.1:0\"\nadvertise = \"10.0.0.1:0\"", "\"10.0.0.1:0\""),
            ("bind = \"127.0.0.1:0\"\nconnections = 3", "3"),
        ] {
            let wrong = compile(text).expect_err(text);
            assert_eq!(&text[wrong.span], place);
        }
    }
}

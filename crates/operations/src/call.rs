//! What a line asks for.

/// Longest line that is read, its end included.
pub const LONGEST: usize = 1024;

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Status,
    /// The figures.
    Metrics,
    /// The fleet's nodes, as this one holds them.
    Members,
    /// Say farewell to the fleet's nodes.
    Leave,
    /// The leases that this node knows of.
    Leases,
    /// Wait for a lease and hold it for as long as the caller stays.
    Lease {
        /// Its name.
        name: String,
        /// How many may hold it at once.
        slots: u16,
    },
    /// End what is done under leases of that name.
    EndLease(String),
    /// The mesh, as this node sees it.
    Mesh,
    /// Limits of the whole fleet, as this node holds them.
    Limits,
    /// Prepaid accounts: the words after it.
    Wallet(Vec<String>),
    /// Take this server out.
    Suspend(String),
    /// Use this server again.
    Restore(String),
}

/// Why a line is no call. One line each.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// It is not text.
    #[error("the call is not UTF-8")]
    NotText,
    /// It is longer than any call.
    #[error("the call is longer than {LONGEST} bytes")]
    TooLong,
    /// Its first word is none of those known.
    #[error("unknown call; wanted: STATUS, METRICS, MEMBERS, LEAVE, LEASES, LEASE NAME SLOTS, ENDLEASE NAME, MESH, LIMITS, WALLET, SUSPEND ID or RESTORE ID")]
    Unknown,
    /// It is about a server and names none, or has a word too many.
    #[error("{0} wants {1}")]
    Words(&'static str, &'static str),
}

impl Call {
    /// Reads a line, with or without its end.
    pub fn parse(line: &[u8]) -> Result<Call, CallError> {
        if line.len() > LONGEST {
            return Err(CallError::TooLong);
        }
        let mut words = std::str::from_utf8(line).map_err(|_| CallError::NotText)?.split_ascii_whitespace();
        let call = words.next().unwrap_or_default();
        let rest: Vec<_> = words.collect();
        let alone =
            |name, call| if rest.is_empty() { Ok(call) } else { Err(CallError::Words(name, "nothing more")) };
        let about = |name, what, call: fn(String) -> Call| match rest[..] {
            [id] => Ok(call(id.to_owned())),
            _ => Err(CallError::Words(name, what)),
        };
        match call {
            "STATUS" => alone("STATUS", Call::Status),
            "METRICS" => alone("METRICS", Call::Metrics),
            "MEMBERS" => alone("MEMBERS", Call::Members),
            "LEAVE" => alone("LEAVE", Call::Leave),
            "LEASES" => alone("LEASES", Call::Leases),
            "MESH" => alone("MESH", Call::Mesh),
            "LIMITS" => alone("LIMITS", Call::Limits),
            "WALLET" => Ok(Call::Wallet(rest.iter().map(|w| (*w).to_owned()).collect())),
            "LEASE" => {
                let slots = |text: &str| text.parse().ok().filter(|slots| *slots > 0);
                let lease = match rest[..] {
                    [name, of] => slots(of).map(|slots| Call::Lease { name: name.to_owned(), slots }),
                    _ => None,
                };
                lease.ok_or(CallError::Words("LEASE", "a name and a number of slots from 1 to 65535"))
            }
            "ENDLEASE" => about("ENDLEASE", "the name of one lease", Call::EndLease),
            "SUSPEND" => about("SUSPEND", "the id of one server", Call::Suspend),
            "RESTORE" => about("RESTORE", "the id of one server", Call::Restore),
            _ => Err(CallError::Unknown),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn calls_are_words() {
        let parse = |line: &str| Call::parse(line.as_bytes());
        assert_eq!(parse("STATUS"), Ok(Call::Status));
        assert_eq!(parse("METRICS\r\n"), Ok(Call::Metrics));
        assert_eq!(parse("  SUSPEND\t s-1 \n"), Ok(Call::Suspend("s-1".to_owned())));
        assert_eq!(parse("RESTORE s-1"), Ok(Call::Restore("s-1".to_owned())));
        assert_eq!(parse("MEMBERS"), Ok(Call::Members));
        assert_eq!(parse("LEAVE"), Ok(Call::Leave));
        assert_eq!(parse("LEASE a 2"), Ok(Call::Lease { name: "a".to_owned(), slots: 2 }));
        for wrong in ["LEASE", "LEASE a", "LEASE a 0", "LEASE a 65536", "LEASE a 1 b"] {
            assert!(matches!(parse(wrong), Err(CallError::Words("LEASE", _))), "{wrong}");
        }
        assert_eq!(parse("LEAVE now"), Err(CallError::Words("LEAVE", "nothing more")));
        assert_eq!(parse("STATUS now"), Err(CallError::Words("STATUS", "nothing more")));
        assert_eq!(parse("SUSPEND"), Err(CallError::Words("SUSPEND", "the id of one server")));
        assert_eq!(parse("SUSPEND a b"), Err(CallError::Words("SUSPEND", "the id of one server")));
        for line in ["", "\n", "status", "GET / HTTP/1.1"] {
            assert_eq!(parse(line), Err(CallError::Unknown), "{line:?}");
        }
        assert_eq!(Call::parse(b"SUSPEND \xff"), Err(CallError::NotText));
        assert_eq!(Call::parse(&[b'A'; LONGEST + 1]), Err(CallError::TooLong));
    }

    proptest! {
        #[test]
        fn any_bytes_are_a_call_or_told_in_one_line(line: Vec<u8>) {
            if let Err(error) = Call::parse(&line) {
                prop_assert!(!error.to_string().contains('\n'));
            }
        }
    }
}

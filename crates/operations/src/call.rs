//! Parses the calls of operators.

/// Maximum length of a line, including its end.
pub const MAX_LINE: usize = 1024;

/// A call from an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process accepts clients.
    Status,
    /// The metrics in text format.
    Metrics,
    /// The fleet's nodes and their states, as this node sees them.
    Members,
    /// Leave the fleet.
    Leave,
    /// The leases that this node knows of.
    Leases,
    /// Wait for a lease and hold it while the caller stays connected.
    Lease {
        /// The lease's name.
        name: String,
        /// How many callers may hold it at the same time.
        slots: u16,
    },
    /// Ask the holders of leases with this name to stop.
    EndLease(String),
    /// The connections of the mesh, as this node sees them.
    Mesh,
    /// The fleet-wide limits, and this node's part of them.
    Limits,
    /// Prepaid accounts, with the call's arguments.
    Wallet(Vec<String>),
    /// Stop sending requests to this server.
    Suspend(String),
    /// Use this server again.
    Restore(String),
}

/// Why a line is not a valid call. Each message is one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The line is not UTF-8.
    #[error("the call is not UTF-8")]
    NotUtf8,
    /// The line exceeds the maximum length.
    #[error("the call is longer than {MAX_LINE} bytes")]
    TooLong,
    /// The first word is not a known call.
    #[error("unknown call; wanted: STATUS, METRICS, MEMBERS, LEAVE, LEASES, LEASE NAME SLOTS, ENDLEASE NAME, MESH, LIMITS, WALLET, SUSPEND ID or RESTORE ID")]
    Unknown,
    /// Missing, surplus or invalid arguments: the call, and what it expects.
    #[error("{0} wants {1}")]
    Usage(&'static str, &'static str),
}

impl Call {
    /// Parses a line, with or without its end.
    pub fn parse(line: &[u8]) -> Result<Call, CallError> {
        if line.len() > MAX_LINE {
            return Err(CallError::TooLong);
        }
        let mut words = std::str::from_utf8(line).map_err(|_| CallError::NotUtf8)?.split_ascii_whitespace();
        let call = words.next().unwrap_or_default();
        let args: Vec<_> = words.collect();
        let no_args =
            |name, call| if args.is_empty() { Ok(call) } else { Err(CallError::Usage(name, "nothing more")) };
        let one_arg = |name, expected, call: fn(String) -> Call| match args[..] {
            [id] => Ok(call(id.to_owned())),
            _ => Err(CallError::Usage(name, expected)),
        };
        match call {
            "STATUS" => no_args("STATUS", Call::Status),
            "METRICS" => no_args("METRICS", Call::Metrics),
            "MEMBERS" => no_args("MEMBERS", Call::Members),
            "LEAVE" => no_args("LEAVE", Call::Leave),
            "LEASES" => no_args("LEASES", Call::Leases),
            "MESH" => no_args("MESH", Call::Mesh),
            "LIMITS" => no_args("LIMITS", Call::Limits),
            "WALLET" => Ok(Call::Wallet(args.iter().map(|a| (*a).to_owned()).collect())),
            "LEASE" => {
                let slots = |text: &str| text.parse().ok().filter(|slots| *slots > 0);
                let lease = match args[..] {
                    [name, count] => slots(count).map(|slots| Call::Lease { name: name.to_owned(), slots }),
                    _ => None,
                };
                lease.ok_or(CallError::Usage("LEASE", "a name and a number of slots from 1 to 65535"))
            }
            "ENDLEASE" => one_arg("ENDLEASE", "the name of one lease", Call::EndLease),
            "SUSPEND" => one_arg("SUSPEND", "the id of one server", Call::Suspend),
            "RESTORE" => one_arg("RESTORE", "the id of one server", Call::Restore),
            _ => Err(CallError::Unknown),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn parses_calls() {
        let parse = |line: &str| Call::parse(line.as_bytes());
        assert_eq!(parse("STATUS"), Ok(Call::Status));
        assert_eq!(parse("METRICS\r\n"), Ok(Call::Metrics));
        assert_eq!(parse("  SUSPEND\t s-1 \n"), Ok(Call::Suspend("s-1".to_owned())));
        assert_eq!(parse("RESTORE s-1"), Ok(Call::Restore("s-1".to_owned())));
        assert_eq!(parse("MEMBERS"), Ok(Call::Members));
        assert_eq!(parse("LEAVE"), Ok(Call::Leave));
        assert_eq!(parse("LEASE a 2"), Ok(Call::Lease { name: "a".to_owned(), slots: 2 }));
        for invalid in ["LEASE", "LEASE a", "LEASE a 0", "LEASE a 65536", "LEASE a 1 b"] {
            assert!(matches!(parse(invalid), Err(CallError::Usage("LEASE", _))), "{invalid}");
        }
        assert_eq!(parse("LEAVE now"), Err(CallError::Usage("LEAVE", "nothing more")));
        assert_eq!(parse("STATUS now"), Err(CallError::Usage("STATUS", "nothing more")));
        assert_eq!(parse("SUSPEND"), Err(CallError::Usage("SUSPEND", "the id of one server")));
        assert_eq!(parse("SUSPEND a b"), Err(CallError::Usage("SUSPEND", "the id of one server")));
        for line in ["", "\n", "status", "GET / HTTP/1.1"] {
            assert_eq!(parse(line), Err(CallError::Unknown), "{line:?}");
        }
        assert_eq!(Call::parse(b"SUSPEND \xff"), Err(CallError::NotUtf8));
        assert_eq!(Call::parse(&[b'A'; MAX_LINE + 1]), Err(CallError::TooLong));
    }

    proptest! {
        #[test]
        fn any_bytes_are_a_call_or_a_one_line_error(line: Vec<u8>) {
            if let Err(error) = Call::parse(&line) {
                prop_assert!(!error.to_string().contains('\n'));
            }
        }
    }
}

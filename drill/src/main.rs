//! `finchvale-drill`: handles the simulator's frames from standard input until it ends.

#![forbid(unsafe_code)]

use finchvale_drill::host::Host;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match Host::default().run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("finchvale-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

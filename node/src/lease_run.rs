//! `birchswitch lease`: a client of a running node, for cron jobs and rolling restarts.
//!
//! The command runs in a process group of its own and is ended before the lease's guard is: told so as soon as the lease is lost, killed
//! when the guard ends. Times are counted from before the node was asked, so that the way there makes them shorter and never longer.

use clap::Subcommand;
use rustix::process::{kill_process_group, Pid, Signal};
use std::error::Error;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::process::{ExitCode, ExitStatus};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep_until, timeout, Instant};

/// How often the node is asked.
const POLL: Duration = Duration::from_millis(200);
/// For an answer of the node's.
const PATIENCE: Duration = Duration::from_secs(2);
/// The lease did not come within `--wait`: sysexits' EX_TEMPFAIL.
const NOT_HELD: u8 = 75;
/// The lease was lost and the command was ended.
const LOST: u8 = 76;
/// No node answers, or it refuses: sysexits' EX_UNAVAILABLE.
const UNAVAILABLE: u8 = 69;

/// What is wanted of leases.
#[derive(Subcommand)]
pub enum Command {
    /// Wait for a lease, run a command under it, and give it back.
    Run {
        /// The lease's name.
        name: String,
        /// How many may hold it at once.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..))]
        slots: u16,
        /// Give up after so many seconds of waiting; wait for good without.
        #[arg(long)]
        wait: Option<u64>,
        /// Where the node is called by operators.
        #[arg(long, env = "GW_OPS")]
        ops: SocketAddr,
        /// The command and its arguments.
        #[arg(last = true, required = true)]
        command: Vec<String>,
    },
    /// What a node holds, waits for and has voted for.
    List {
        /// Where the node is called by operators.
        #[arg(long, env = "GW_OPS")]
        ops: SocketAddr,
    },
    /// Tell whoever holds a lease through that node to end what it does.
    Release {
        /// The lease's name.
        name: String,
        /// Where the node is called by operators.
        #[arg(long, env = "GW_OPS")]
        ops: SocketAddr,
    },
}

/// Carries it out.
pub async fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Run { name, slots, wait, ops, command } => {
            let wait = wait.map(|s| Instant::now() + Duration::from_secs(s));
            hold(&name, slots, wait, ops, &command).await
        }
        Command::List { ops } => call(ops, "LEASES").await,
        Command::Release { name, ops } => call(ops, &format!("ENDLEASE {name}")).await,
    }
}

async fn call(ops: SocketAddr, line: &str) -> Result<ExitCode, Box<dyn Error>> {
    let mut stream = TcpStream::connect(ops).await.map_err(|e| format!("no node answers at {ops}: {e}"))?;
    stream.write_all(format!("{line}\n").as_bytes()).await?;
    let mut answer = String::new();
    timeout(PATIENCE, stream.read_to_string(&mut answer)).await??;
    print!("{}", answer.trim_end_matches("EOT\n"));
    Ok(if answer.starts_with("FAILURE") { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// What a node told.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Told {
    Waiting,
    /// Token, slot, and when all has to be over.
    Held(String, String, Instant),
    Lost,
    Refused(String),
}

fn read(line: &str, asked: Instant) -> Told {
    match line.split_ascii_whitespace().collect::<Vec<_>>()[..] {
        ["WAITING", ..] => Told::Waiting,
        ["HELD", token, slot, left] => match left.parse() {
            Ok(left) => Told::Held(token.to_owned(), slot.to_owned(), asked + Duration::from_millis(left)),
            Err(_) => Told::Lost,
        },
        ["FAILURE", ..] => Told::Refused(line.trim_start_matches("FAILURE ").trim().to_owned()),
        _ => Told::Lost,
    }
}

struct Node(BufReader<TcpStream>);

impl Node {
    /// Asks by a line. A node that doesn't answer has nothing to say for the lease any more.
    async fn ask(&mut self, line: &str) -> Told {
        let asked = Instant::now();
        let mut answer = String::new();
        let exchange = async {
            self.0.write_all(line.as_bytes()).await?;
            self.0.read_line(&mut answer).await
        };
        match timeout(PATIENCE, exchange).await {
            Ok(Ok(length)) if length > 0 => read(&answer, asked),
            _ => Told::Lost,
        }
    }
}

async fn hold(
    name: &str,
    slots: u16,
    wait: Option<Instant>,
    ops: SocketAddr,
    command: &[String],
) -> Result<ExitCode, Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let Ok(stream) = TcpStream::connect(ops).await else {
        eprintln!("birchswitch lease: no node answers at {ops}");
        return Ok(UNAVAILABLE.into());
    };
    let mut node = Node(BufReader::new(stream));
    let mut told = node.ask(&format!("LEASE {name} {slots}\n")).await;
    let (token, slot, mut guard) = loop {
        match told {
            Told::Held(token, slot, guard) => break (token, slot, guard),
            Told::Refused(why) => {
                eprintln!("birchswitch lease: {why}");
                return Ok(UNAVAILABLE.into());
            }
            Told::Lost => {
                eprintln!("birchswitch lease: the node at {ops} answers no more");
                return Ok(UNAVAILABLE.into());
            }
            Told::Waiting => {}
        }
        let over = tokio::select! {
            _ = terminate.recv() => true,
            _ = interrupt.recv() => true,
            () = tokio::time::sleep(POLL) => wait.is_some_and(|until| Instant::now() >= until),
        };
        if over {
            release(node).await;
            return Ok(NOT_HELD.into());
        }
        told = node.ask("\n").await;
    };
    let mut child = tokio::process::Command::new(&command[0])
        .args(&command[1..])
        .env("BIRCHSWITCH_LEASE", name)
        .env("BIRCHSWITCH_LEASE_SLOT", slot)
        .env("BIRCHSWITCH_LEASE_TOKEN", token)
        .env("BIRCHSWITCH_LEASE_MS", (guard - Instant::now()).as_millis().to_string())
        .process_group(0)
        .spawn()
        .map_err(|e| format!("{}: {e}", command[0]))?;
    let group = child.id().and_then(|p| Pid::from_raw(p as i32));
    let send = |signal| group.map(|g| kill_process_group(g, signal));
    let status = loop {
        let left = guard.saturating_duration_since(Instant::now());
        tokio::select! {
            status = child.wait() => break Some(status?),
            _ = terminate.recv() => drop(send(Signal::TERM)),
            _ = interrupt.recv() => drop(send(Signal::INT)),
            // A node that does not answer in half of the time that is left says nothing for it any more: the other half is the command's, to end.
            () = tokio::time::sleep(POLL.min(left / 4)) => match timeout(left / 2, node.ask("\n")).await {
                Ok(Told::Held(_, _, later)) => guard = guard.max(later),
                _ => break end(&mut child, guard, send).await?,
            },
        }
    };
    // What it forked is of its group, and ends with the lease.
    let _ = send(Signal::KILL);
    release(node).await;
    Ok(match status {
        Some(status) => code(status),
        None => {
            eprintln!("birchswitch lease: {name} was lost, the command was ended");
            LOST.into()
        }
    })
}

/// The lease is lost: tells the command, and kills it by the guard's end. None: it was ended so.
async fn end<R>(
    child: &mut Child,
    guard: Instant,
    send: impl Fn(Signal) -> Option<R>,
) -> Result<Option<ExitStatus>, Box<dyn Error>> {
    let _ = send(Signal::TERM);
    tokio::select! {
        status = child.wait() => drop(status?),
        () = sleep_until(guard) => {
            let _ = send(Signal::KILL);
            child.wait().await?;
        }
    }
    Ok(None)
}

/// What was done under it is over. A node that is gone lets it run out.
async fn release(mut node: Node) {
    let _ = node.0.write_all(b"RELEASE\n").await;
    let _ = node.0.shutdown().await;
}

fn code(status: ExitStatus) -> ExitCode {
    let code = status.code().or(status.signal().map(|s| 128 + s)).unwrap_or(1);
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}

//! `birchswitch lease`: a client of a running node, for cron jobs and rolling restarts.
//!
//! The command runs in a process group of its own and ends before the lease's guard expires: it gets SIGTERM as soon as the lease is
//! lost and SIGKILL when the guard expires. Times are counted from before the request to the node, so that network delay makes them
//! shorter and never longer.

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

/// Interval between requests for the lease's state.
const POLL: Duration = Duration::from_millis(200);
/// Timeout of the node's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Exit code if the lease was not granted within `--wait`: EX_TEMPFAIL of sysexits.
const NOT_HELD: u8 = 75;
/// Exit code if the lease was lost and the command was ended.
const LOST: u8 = 76;
/// Exit code if no node answers or it refuses: EX_UNAVAILABLE of sysexits.
const UNAVAILABLE: u8 = 69;

/// Subcommands of `birchswitch lease`.
#[derive(Subcommand)]
pub enum Command {
    /// Wait for a lease, run a command while holding it, and release it.
    Run {
        /// The lease's name.
        name: String,
        /// How many may hold the lease at once.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..))]
        slots: u16,
        /// Give up after waiting for this many seconds; without it, wait forever.
        #[arg(long)]
        wait: Option<u64>,
        /// Where the node is called by operators.
        #[arg(long, env = "GW_OPS")]
        ops: SocketAddr,
        /// The command and its arguments.
        #[arg(last = true, required = true)]
        command: Vec<String>,
    },
    /// List the leases that a node holds, waits for and has voted for.
    List {
        /// Where the node is called by operators.
        #[arg(long, env = "GW_OPS")]
        ops: SocketAddr,
    },
    /// Tell the holders of a lease through that node to end their work.
    Release {
        /// The lease's name.
        name: String,
        /// Where the node is called by operators.
        #[arg(long, env = "GW_OPS")]
        ops: SocketAddr,
    },
}

/// Runs a subcommand.
pub async fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Run { name, slots, wait, ops, command } => {
            let wait = wait.map(|s| Instant::now() + Duration::from_secs(s));
            run_under_lease(&name, slots, wait, ops, &command).await
        }
        Command::List { ops } => call(ops, "LEASES").await,
        Command::Release { name, ops } => call(ops, &format!("ENDLEASE {name}")).await,
    }
}

async fn call(ops: SocketAddr, line: &str) -> Result<ExitCode, Box<dyn Error>> {
    let mut stream = TcpStream::connect(ops).await.map_err(|e| format!("no node answers at {ops}: {e}"))?;
    stream.write_all(format!("{line}\n").as_bytes()).await?;
    let mut answer = String::new();
    timeout(REPLY_TIMEOUT, stream.read_to_string(&mut answer)).await??;
    print!("{}", answer.trim_end_matches("EOT\n"));
    Ok(if answer.starts_with("FAILURE") { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// A node's reply about a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reply {
    Waiting,
    /// Token, slot, and the time by which all work under the lease must end.
    Held(String, String, Instant),
    Lost,
    Refused(String),
}

fn parse_reply(line: &str, sent_at: Instant) -> Reply {
    match line.split_ascii_whitespace().collect::<Vec<_>>()[..] {
        ["WAITING", ..] => Reply::Waiting,
        ["HELD", token, slot, left] => match left.parse() {
            Ok(left) => Reply::Held(token.to_owned(), slot.to_owned(), sent_at + Duration::from_millis(left)),
            Err(_) => Reply::Lost,
        },
        ["FAILURE", ..] => Reply::Refused(line.trim_start_matches("FAILURE ").trim().to_owned()),
        _ => Reply::Lost,
    }
}

struct Node(BufReader<TcpStream>);

impl Node {
    /// Sends a line and reads the reply. Without a reply in time the lease counts as lost.
    async fn ask(&mut self, line: &str) -> Reply {
        let sent_at = Instant::now();
        let mut answer = String::new();
        let exchange = async {
            self.0.write_all(line.as_bytes()).await?;
            self.0.read_line(&mut answer).await
        };
        match timeout(REPLY_TIMEOUT, exchange).await {
            Ok(Ok(length)) if length > 0 => parse_reply(&answer, sent_at),
            _ => Reply::Lost,
        }
    }
}

async fn run_under_lease(
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
    let mut reply = node.ask(&format!("LEASE {name} {slots}\n")).await;
    let (token, slot, mut guard) = loop {
        match reply {
            Reply::Held(token, slot, guard) => break (token, slot, guard),
            Reply::Refused(why) => {
                eprintln!("birchswitch lease: {why}");
                return Ok(UNAVAILABLE.into());
            }
            Reply::Lost => {
                eprintln!("birchswitch lease: the node at {ops} no longer answers");
                return Ok(UNAVAILABLE.into());
            }
            Reply::Waiting => {}
        }
        let give_up = tokio::select! {
            _ = terminate.recv() => true,
            _ = interrupt.recv() => true,
            () = tokio::time::sleep(POLL) => wait.is_some_and(|until| Instant::now() >= until),
        };
        if give_up {
            release(node).await;
            return Ok(NOT_HELD.into());
        }
        reply = node.ask("\n").await;
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
            // If the node does not answer within half of the time left, the lease counts as lost: the other half is for the command to end.
            () = tokio::time::sleep(POLL.min(left / 4)) => match timeout(left / 2, node.ask("\n")).await {
                Ok(Reply::Held(_, _, extended)) => guard = guard.max(extended),
                _ => break end_command(&mut child, guard, send).await?,
            },
        }
    };
    // Processes that the command forked belong to its group and end with the lease.
    let _ = send(Signal::KILL);
    release(node).await;
    Ok(match status {
        Some(status) => exit_code(status),
        None => {
            eprintln!("birchswitch lease: {name} was lost, the command was ended");
            LOST.into()
        }
    })
}

/// Ends the command after the lease was lost: sends SIGTERM, and SIGKILL when the guard expires. Returns `None`, as the command has no
/// exit status of its own to pass on.
async fn end_command<R>(
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

/// Releases the lease. If the node is gone, the lease expires.
async fn release(mut node: Node) {
    let _ = node.0.write_all(b"RELEASE\n").await;
    let _ = node.0.shutdown().await;
}

fn exit_code(status: ExitStatus) -> ExitCode {
    let code = status.code().or(status.signal().map(|s| 128 + s)).unwrap_or(1);
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}

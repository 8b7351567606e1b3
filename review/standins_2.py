"""Stand-ins and helpers for the cases 6 to 10: processes of the node, discovery, shop servers, records.

Python's standard library only. All addresses are loopback addresses, all processes that were started are ended.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MS = 1_000_000


class CouldNotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def trouble():
    """Whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_command():
    """The command of the deploy file that starts a node."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*?)"', file.read(), re.M).group(1)


def free_port(kind=socket.SOCK_STREAM):
    """A port of 127.0.0.1 that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings(profiles, tenants=("dalbit",), **changes):
    """A site's settings in the form of the WIRE page. No probes and no reports, lists are pushed."""
    site = {
        "balancers": 3,
        "extra": {},
        "kinds": ["std-gen3"],
        "kind_of_service": "proxy",
        "limits": {
            "conn_idle_ns": 15_000 * MS, "connect_timeout_ns": 250 * MS, "max_retry_after_ns": 2_000 * MS,
            "may_cancel": True, "may_probe": False, "peer_messages": False, "retry_after": True,
            "second_copies": False, "streams_per_conn": 1, "try_limit": 3,
        },
        "me": 0,
        "over_share_worth": 0.2,
        "prices": {"probe": 0.002, "handshake": 0.0},
        "profiles": profiles,
        "registry_mode": "automatic",
        "report": {"fields": [], "how": "silent"},
        "rules": {
            "answer_slack_ns": 5 * MS, "ask_every_ns": 10_000 * MS, "cold_from": 0.12, "drain_grace_ns": 1_000 * MS,
            "fall_multiple": 3.0, "overload_for_ns": 2_000 * MS, "warm_up_ns": 21_000 * MS,
        },
        "tenants": [{"name": name, "quota_per_s": 1000.0, "share": 1.0 / len(tenants)} for name in tenants],
        "weights": "silent",
        "worth_by": "request",
        "zone": 0,
        "zones": ["hall-a"],
    }
    for path, value in changes.items():
        where = site
        *parents, last = path.split("__")
        for parent in parents:
            where = where[parent]
        where[last] = value
    return site


def profile(name, effect, deadline_ms, scope="all", window_ms=2_000, aim_ms=352, importance=8.0):
    """A class of requests."""
    return {
        "name": name, "effect": effect, "key_scope": scope, "repeat_window_ns": window_ms * MS,
        "deadline_ns": deadline_ms * MS, "promise_ns": aim_ms * MS, "importance": importance,
        "late_worth": 0.0, "streaming": False,
    }


class Case:
    """One play of a case: its temporary folder, its record and the processes that it started."""

    def __init__(self, folder):
        self.folder = folder
        self.started = time.monotonic()
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.lines = []
        self.processes = []
        self.servers = []

    def now_ms(self):
        return (time.monotonic() - self.started) * 1000

    def record(self, text):
        line = f"{self.now_ms():10.1f} ms  {text}"
        self.lines.append(line)

    # ---- Processes ----
    def spawn(self, command, env, name, new_session=False):
        """Starts a command with /bin/sh -c from the root of the repository, as the deploy file says."""
        log = open(os.path.join(self.tmp, f"{name}.log"), "ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env={**os.environ, **env}, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, start_new_session=new_session)
        log.close()
        process.name = name
        self.processes.append(process)
        self.record(f"started {name}")
        return process

    def start_node(self, name, listen, discovery, site, ops=None, operator=None, memory_mb=192, sockets=1024):
        """Starts a node with a configuration in the form of the DEPLOY page."""
        config = {
            "name": name, "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}",
            "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "settings": site,
        }
        path = os.path.join(self.tmp, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        private = os.path.join(self.tmp, f"{name}.tmp")
        os.makedirs(private, exist_ok=True)
        env = {"GW_NAME": name, "GW_LISTEN": config["listen"], "GW_DISCOVERY": config["discovery"],
               "GW_CONFIG": path, "TMPDIR": private}
        if ops:
            env["GW_OPS"] = f"127.0.0.1:{ops}"
        if operator:
            operator_path = os.path.join(self.tmp, f"{name}.toml")
            with open(operator_path, "w", encoding="utf-8") as file:
                file.write(operator)
            env["GW_OPERATOR"] = operator_path
        return self.spawn(run_command(), env, name)

    def log_of(self, name):
        try:
            with open(os.path.join(self.tmp, f"{name}.log"), encoding="utf-8", errors="replace") as file:
                return file.read()
        except FileNotFoundError:
            return ""

    def kill(self, process, why=""):
        """SIGKILL to a process that the case started."""
        self.record(f"SIGKILL to {process.name} {why}".rstrip())
        process.send_signal(signal.SIGKILL)
        process.wait()

    def end(self, code, verdict):
        """Ends all processes, writes the record, and exits."""
        self.record(f"verdict: {verdict} (exit {code})")
        for server in self.servers:
            server.close()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        with open(os.path.join(self.folder, "record.txt"), "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")
        if code == COULD_NOT_RUN:
            for process in self.processes:
                print(f"--- log of {process.name}\n{self.log_of(process.name)[-1500:]}", file=sys.stderr)
        shutil.rmtree(self.tmp, ignore_errors=True)
        print(verdict)
        sys.stdout.flush()
        os._exit(code)


def play(folder, case_main, limit_s=110):
    """Runs a case: `case_main(case)` returns (code, verdict)."""
    case = Case(folder)

    async def body():
        try:
            code, verdict = await asyncio.wait_for(case_main(case), limit_s)
        except (CouldNotRun, asyncio.TimeoutError, OSError, subprocess.SubprocessError) as error:
            code, verdict = COULD_NOT_RUN, f"could not run: {type(error).__name__} {error}"
        except Exception as error:  # An error of the script is no result of the rule.
            traceback.print_exc()
            code, verdict = COULD_NOT_RUN, f"could not run: {type(error).__name__} {error}"
        case.end(code, verdict)

    asyncio.run(body())


async def until(what, condition, seconds):
    """Waits until a condition (or a coroutine of it) is true and returns its value."""
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if time.monotonic() > end:
            raise CouldNotRun(f"{what} did not come within {seconds} s")
        await asyncio.sleep(0.02)


# ---- HTTP ----
async def read_head(reader):
    """The first line and the headers (lower case) of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """A body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, body, extra=""):
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


class Discovery:
    """An agent that pushes one list, as the PROTOCOL page describes it."""

    def __init__(self, members):
        self.members = members

    async def start(self, case):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        case.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def list_line(self):
        return json.dumps({"revision": 1, "complete": True, "members": self.members}).encode()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                if "follow=1" not in head[0]:
                    writer.write(answer_bytes("200 OK", self.list_line()))
                    await writer.drain()
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                line = self.list_line() + b"\n"
                while True:
                    writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")
                    await writer.drain()
                    await asyncio.sleep(2)
                    line = b"\n"
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def member(name, port, cell=0):
    return {"id": name, "host_port": f"127.0.0.1:{port}", "locality": "hall-a", "flavor": "std-gen3", "cell": cell,
            "phase": "active", "size": 1.0, "up_since_ms": 0}


async def http_ready(port):
    """Whether a node answers 200 to GET /health/ready."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return head is not None and " 200" in head[0]
    except (OSError, asyncio.TimeoutError):
        return False


async def ask_ops(port, line, seconds=8):
    """An operator's call: one line on a connection of its own, and all of the answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line.encode() + b"\n")
        text = await asyncio.wait_for(reader.read(), seconds)
        writer.close()
        return text.decode()
    except (OSError, asyncio.TimeoutError):
        return ""

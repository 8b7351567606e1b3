"""Stand-ins for the cases in review/: the platform's discovery, servers, clients, and the node's processes.

Standard library only, loopback addresses only. Everything that a case starts ends with `Case.close`.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; exit code 2."""


def free_ports(count):
    """Ports that are free for TCP and UDP on 127.0.0.1, below those that the system gives to outgoing connections."""
    held, ports = [], []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        tcp, udp = (socket.socket(socket.AF_INET, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM))
        held += [tcp, udp]
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for s in held:
        s.close()
    return ports


def say(text):
    """Prints a line; whoever read the output may be gone."""
    try:
        print(text, flush=True)
    except OSError:
        pass


def profile(name, effect, deadline_ms=879, window_ms=2000, scope="all"):
    return {"deadline_ns": deadline_ms * 1_000_000, "effect": effect, "importance": 8.0, "key_scope": scope,
            "late_worth": 0.0, "name": name, "promise_ns": 352_000_000,
            "repeat_window_ns": window_ms * 1_000_000, "streaming": False}


def settings(profiles, balancers=1):
    """The site's settings: the WIRE page's sample, which is gasan-shop's, with these classes and one hall."""
    return {
        "balancers": balancers, "me": 0, "clients": {"marks_retry": False}, "extra": {"warm_keys": False},
        "goal": {"whole": 0.55, "worst_class": 0.05, "worst_tenant": 0.25, "worst_window": 0.15},
        "kind_of_service": "proxy", "kinds": ["std-gen3"],
        "limits": {"conn_idle_ns": 15_000_000_000, "connect_timeout_ns": 250_000_000, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 8244551, "max_open": 206113, "max_retry_after_ns": 2_000_000_000,
                   "may_cancel": True, "may_probe": True, "peer_messages": False, "retry_after": True,
                   "second_copies": True, "streams_per_conn": 100, "try_limit": 3},
        "over_share_worth": 0.2,
        "prices": {"connection": 0.0, "cross_zone": 0.005, "handshake": 0.0, "late_fail": 0.03, "moves": 0.0,
                   "origin": 0.0, "peer": 0.0, "probe": 0.002, "registry_mode": 0.0, "waste": 0.1},
        "profiles": profiles, "registry_mode": "automatic",
        "report": {"fields": ["outstanding", "backlog", "utilization"], "how": "pull"},
        "rules": {"answer_slack_ns": 5_000_000, "ask_every_ns": 10_000_000_000, "cold_from": 0.12,
                  "drain_grace_ns": 1_000_000_000, "fall_multiple": 3.0, "overload_for_ns": 2_000_000_000,
                  "warm_up_ns": 21_000_000_000},
        "tenants": [{"name": "dalbit", "quota_per_s": 1000.0, "share": 0.73},
                    {"name": "morae", "quota_per_s": 1000.0, "share": 0.27}],
        "tick_ns": 1_000_000, "tier": 0, "tiers": ["shop-api"], "weights": "silent", "worth_by": "work",
        "zone": 0, "zones": ["hall-a"]}


class Case:
    """One run: its record, its temporary folder and its processes."""

    def __init__(self, folder):
        self.record_file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.began = time.monotonic()
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            self.run_line = tomllib.load(file)["run"]
        if not os.path.exists(os.path.join(ROOT, "target", "release", "birchswitch")):
            raise CannotRun("target/release/birchswitch is missing: run the build of the deploy file")
        self.record(f"trouble: {'yes' if TROUBLE else 'no'}")

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def start_node(self, name, config, operator=None, extra_env=None):
        """Starts the node with the command of the deploy file, from the root."""
        folder = os.path.join(self.temp, name)
        os.makedirs(os.path.join(folder, "tmp"), exist_ok=True)
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        env = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        env.update({"GW_NAME": name, "GW_LISTEN": config["listen"], "GW_DISCOVERY": config["discovery"],
                    "GW_CONFIG": path, "TMPDIR": os.path.join(folder, "tmp")})
        if operator is not None:
            env["GW_OPERATOR"] = os.path.join(folder, "operator.toml")
            with open(env["GW_OPERATOR"], "w") as file:
                file.write(operator)
        env.update(extra_env or {})
        log = open(os.path.join(folder, "log.txt"), "ab")
        process = subprocess.Popen(["/bin/sh", "-c", self.run_line], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log, start_new_session=True)
        self.processes[name] = process
        self.record(f"started {name} as process {process.pid}: clients at {config['listen']}")
        return process

    def start(self, name, command, env=None, log=None):
        """Starts another program of the project, in a session of its own."""
        out = open(os.path.join(self.temp, f"{name}.txt"), "ab")
        process = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=out, stderr=out,
                                   start_new_session=True)
        self.processes[name] = process
        self.record(f"started {name} as process {process.pid}: {' '.join(command)}")
        return process

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record(f"{signal.Signals(number).name} to {name}")

    def log_of(self, name):
        with open(os.path.join(self.temp, name, "log.txt"), errors="replace") as file:
            return file.read()

    def close(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
                process.wait()
        for name in self.processes:
            path = os.path.join(self.temp, name, "log.txt")
            if os.path.exists(path):
                with open(path, errors="replace") as file:
                    lines = file.read().splitlines()
                self.record_file.write(f"---- log of {name}, {len(lines)} lines, the last 60\n")
                self.record_file.write("\n".join(lines[-60:]) + "\n")
        self.record_file.close()
        shutil.rmtree(self.temp, ignore_errors=True)


async def read_head(reader):
    """The first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    return lines[0], headers


def load_report(held, cores=4):
    """A server's answer to a probe: what it holds, what of it waits, and how busy its cores are."""
    load = json.dumps({"outstanding": held, "backlog": max(0, held - cores), "utilization": min(1.0, held / cores)})
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(load), load.encode())


class Discovery:
    """The agent of the PROTOCOL page: the whole list, and a watch with an empty line every 2 s."""

    def __init__(self):
        self.revision, self.members, self.changed = 1, {}, asyncio.Event()

    def add(self, name, port, **more):
        self.revision += 1
        self.members[name] = {"id": name, "host_port": f"127.0.0.1:{port}", "locality": "hall-a",
                              "flavor": "std-gen3", "cell": 1, "phase": "active", "size": 1.0, "up_since_ms": 0,
                              **more}
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        return json.dumps({"revision": self.revision, "complete": True, "members": list(self.members.values())})

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                target = message[0].split(" ")[1]
                if "follow=1" not in target:
                    body = self.whole().encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    await writer.drain()
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                sent = None
                while True:
                    line = b"\n" if sent == self.revision else self.whole().encode() + b"\n"
                    sent, changed = self.revision, self.changed
                    writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                    await writer.drain()
                    try:
                        await asyncio.wait_for(changed.wait(), 2)
                    except asyncio.TimeoutError:
                        pass
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Connection:
    """A client's connection that is kept between requests."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def request(self, path, headers, body=b"", timeout=3.0):
        """Status (None: no answer) and body. Opens a connection if there is none."""
        try:
            return await asyncio.wait_for(self.exchange(path, headers, body), timeout)
        except asyncio.TimeoutError:
            self.close()
            return None, b"no answer in time"
        except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return None, f"connection: {error!r}".encode()

    async def exchange(self, path, headers, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lines = [f"{'POST' if body is not None else 'GET'} {path} HTTP/1.1", "Host: api.internal"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))
        message = await read_head(self.reader)
        if message is None:
            self.close()
            return None, b"closed without an answer"
        status, answer = int(message[0].split(" ")[1]), message[1]
        text = await self.reader.readexactly(int(answer.get("content-length", 0)))
        if answer.get("connection", "").lower() == "close":
            self.close()
        return status, text

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def until_ready(case, name, port, seconds=15):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if case.processes[name].poll() is not None:
            raise CannotRun(f"{name} ended: {case.log_of(name)[-300:]}")
        probe = Connection(port)
        status, _ = await probe.request("/health/ready", {}, None, 1.0)
        probe.close()
        if status == 200:
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{name} was not ready within {seconds} s")


async def call(port, line, timeout=7.0):
    """An operator's call: the text of the answer, or None."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 2)
        writer.write(line.encode() + b"\n")
        text = await asyncio.wait_for(reader.read(), timeout)
        writer.close()
        return text.decode()
    except (OSError, asyncio.TimeoutError):
        return None


def main(folder, play):
    """Runs a case: `play(case)` returns a list of violations. Exit code 1: broken, 0: held, 2: could not run."""
    case, code = None, 2
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        case = Case(folder)
        violations = asyncio.run(asyncio.wait_for(play(case), 115))
        for violation in violations[:20]:
            case.record(f"BROKEN: {violation}")
            say(f"broken: {violation}")
        case.record(f"result: {'broken, ' + str(len(violations)) if violations else 'held'}")
        code = 1 if violations else 0
    except Exception as error:  # Whatever went wrong in the case itself says nothing about the rule.
        say(f"cannot run: {error!r}")
        if case:
            case.record(f"cannot run: {error!r}")
    finally:
        if case:
            case.close()
    sys.exit(code)

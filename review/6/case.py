"""Large keyed orders whose first try is reset after it ran: is a repeat sent only while the pod still remembers the key?"""

import asyncio
import os
import random
import socket
import struct
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins_2 as s  # noqa: E402

CLASS, TENANT = "quote", "gravel"  # As deploy/sites/quarry-orders.toml has them.
WINDOW_MS, AIM_MS, DEADLINE_MS = 1_200, 900, 2_600
BODY = 10 << 20
FULL_SPEED = 24e6  # Bytes a second that a shop server reads with its machine to itself ...
SHARED_SPEED = FULL_SPEED * (1 - 0.70)  # ... and while another program takes 70% of the machine.
RESET_AFTER_MS = 40  # Of the run's begin, while the server still works on the order.
ORDERS, RESET_EVERY = 15, 3  # One order in three meets a reset.
WORK_MS, SCOPE = (60, 100), "cell"


class ShopServer:
    """A server. Its pod drops a repeat of a key for the window, counted from the run."""

    pod = {}  # Pod and key -> time of the latest run.
    begun = {}  # Key -> time of the first try's first byte.
    runs = {}  # Key -> times of all runs.

    def __init__(self, case, name, pod_number):
        self.case, self.name, self.pod_number = case, name, pod_number

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(self.serve, sock=listener, limit=64 << 10)
        self.case.servers.append(server)
        self.port = listener.getsockname()[1]
        return self

    async def read_paced(self, reader, length, speed):
        """Reads a body no faster than that; returns when its last byte has come."""
        begin, read = self.case.now_ms(), 0
        while read < length:
            chunk = await reader.read(min(64 << 10, length - read))
            if not chunk:
                return False
            read += len(chunk)
            ahead = read / speed - (self.case.now_ms() - begin) / 1000
            if ahead > 0.002:
                await asyncio.sleep(ahead)
        return True

    async def serve(self, reader, writer):
        try:
            while (head := await s.read_head(reader)) is not None:
                headers, came = head[1], self.case.now_ms()
                key, request_id = headers["idempotency-key"], headers["x-request-id"]
                first = key not in ShopServer.begun
                ShopServer.begun.setdefault(key, came)
                # Another program runs on one machine of each pod of two, so on two of five, now on one and now on the
                # other, with and without the disruption: here on the one that an order's first try did not meet.
                speed = FULL_SPEED if first else SHARED_SPEED
                self.case.record(f"server {self.name}: first bytes of {key} (id {request_id})")
                if not await self.read_paced(reader, int(headers["content-length"]), speed):
                    self.case.record(f"server {self.name}: {key} broke off before its last byte")
                    return
                now, ran = self.case.now_ms(), ShopServer.pod.get((self.pod_number, key))
                if ran is not None and now - ran < WINDOW_MS:
                    self.case.record(f"server {self.name}: drops the repeat of {key}, {now - ran:.0f} ms after the run")
                else:
                    ShopServer.pod[self.pod_number, key] = now
                    ShopServer.runs.setdefault(key, []).append(now)
                    self.case.record(f"server {self.name}: RUNS {key}, {now - ShopServer.begun[key]:.0f} ms after the "
                                     f"first byte of its first try (x-timeout {headers.get('x-timeout')})")
                if first and s.trouble() and int(key.split("-")[1]) % RESET_EVERY == 0:
                    await asyncio.sleep(RESET_AFTER_MS / 1000)
                    self.case.record(f"server {self.name}: the connection of {key} is reset")
                    connection = writer.get_extra_info("socket")
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    writer.transport.abort()
                    return
                await asyncio.sleep(random.uniform(*WORK_MS) / 1000 * FULL_SPEED / speed)
                writer.write(s.answer_bytes("200 OK", f"{key} done".encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def order(case, port, n):
    """One order: the status of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"POST /{CLASS} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: r{n}\r\nX-Tenant-Id: {TENANT}\r\n"
        f"X-Timeout: {DEADLINE_MS}m\r\nIdempotency-Key: order-{n}\r\nContent-Length: {BODY}\r\n\r\n".encode())
    writer.write(bytes(BODY))
    head = await asyncio.wait_for(s.read_head(reader), DEADLINE_MS / 1000 + 4)
    writer.close()
    return int(head[0].split()[1]) if head else None


async def main(case):
    shops = [await ShopServer(case, f"s{n}", n // 2).start() for n in range(5)]
    members = [s.member(shop.name, shop.port, n // 2) for n, shop in enumerate(shops)]  # Two pods of two, one of one.
    discovery = await s.Discovery(members).start(case)
    site = s.settings([s.profile(CLASS, "guarded", DEADLINE_MS, SCOPE, WINDOW_MS, AIM_MS)], (TENANT,))
    listen = s.free_port()
    case.start_node("n0", listen, discovery.port, site)
    await s.until("the node ready", lambda: s.http_ready(listen), 20)
    for n in range(ORDERS):
        status = await order(case, listen, n)
        case.record(f"client: order-{n} answered {status}")
        await asyncio.sleep(0.3)
    if not ShopServer.runs:
        raise s.CouldNotRun("no order reached a server")
    twice = {key: times for key, times in ShopServer.runs.items() if len(times) > 1}
    if twice:
        return s.BROKEN, f"broken: {len(twice)} of {ORDERS} keyed orders ran twice: {', '.join(twice)}"
    return s.HELD, f"held: none of {len(ShopServer.runs)} keyed orders ran twice"


s.play(HERE, main)

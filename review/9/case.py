"""Sixty clients stop in the middle of a request and stay: do the others get their final answers?"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins_2 as s  # noqa: E402

CLASS, TENANT = "item-buy", "dalbit"
SERVERS, WORK_MS = 6, (80, 121)
TIMEOUT_MS, SLACK_MS = 879, 500  # An answer may come half a second after its time; then it is lost.
SOCKETS = 128  # The node's limit: it keeps 48 places for clients.
PER_S, SECONDS = 20, 14
BAD, BAD_AFTER_S = 60, 4
BODY, PART = 60_000, 20_000


class ShopServer:
    def __init__(self, case):
        self.case = case

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.case.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while (head := await s.read_head(reader)) is not None:
                await s.read_body(reader, head[1])
                self.case.record(f"server: runs {head[1]['x-request-id']}")
                await asyncio.sleep(random.uniform(*WORK_MS) / 1000)
                writer.write(s.answer_bytes("200 OK", head[1]["x-request-id"].encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def head_of(request_id, length):
    return (f"POST /{CLASS} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request_id}\r\nX-Tenant-Id: {TENANT}\r\n"
            f"X-Timeout: {TIMEOUT_MS}m\r\nContent-Length: {length}\r\n\r\n").encode()


async def bad_client(case, port, n):
    """Sends a third of its body and stays, until the node answers or closes. One comes after the other, 10 ms apart."""
    await asyncio.sleep(n / 100)
    begun = case.now_ms()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head_of(f"bad{n}", BODY) + bytes(PART))
    try:
        head = await asyncio.wait_for(s.read_head(reader), 10)
        ended = head[0].split()[1] if head else "a close"
    except (asyncio.TimeoutError, ConnectionError) as error:
        ended = type(error).__name__
    writer.close()
    case.record(f"bad client {n}: {ended} after {case.now_ms() - begun:.0f} ms")


async def order(case, port, n, lost, served):
    """An order on a connection of its own. A refused or reset connection would not be the node's loss."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.transport.set_write_buffer_limits(0)
    writer.write(head_of(f"r{n}", 0))
    await writer.drain()
    sent = case.now_ms()
    try:
        head = await asyncio.wait_for(s.read_head(reader), (TIMEOUT_MS + SLACK_MS) / 1000)
        status = head[0].split()[1] if head else "closed"
    except asyncio.TimeoutError:
        status = None
    except ConnectionError:
        status = "reset"
    writer.close()
    if status is None:
        lost.append(n)
    if status == "200":
        served.append(n)
    case.record(f"client of r{n}, sent at {sent:.0f} ms: {status or 'no answer'} after {case.now_ms() - sent:.0f} ms")


async def main(case):
    shops = [await ShopServer(case).start() for _ in range(SERVERS)]
    members = [s.member(f"s{n}", shop.port) for n, shop in enumerate(shops)]
    discovery = await s.Discovery(members).start(case)
    listen = s.free_port()
    site = s.settings([s.profile(CLASS, "single_shot", TIMEOUT_MS)])
    case.start_node("n0", listen, discovery.port, site, sockets=SOCKETS)
    await s.until("the node ready", lambda: s.http_ready(listen), 20)
    lost, served, tasks = [], [], []
    for n in range(PER_S * SECONDS):
        if n == PER_S * BAD_AFTER_S and s.trouble():
            case.record(f"{BAD} clients stop in the middle of a request")
            tasks += [asyncio.create_task(bad_client(case, listen, k)) for k in range(BAD)]
        tasks.append(asyncio.create_task(order(case, listen, n, lost, served)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    asked = PER_S * SECONDS
    case.record(f"{len(served)} of {asked} orders served, {len(lost)} without an answer {SLACK_MS} ms after their time")
    if len(served) < asked / 4:
        raise s.CouldNotRun("hardly anything was served")
    if lost:
        return s.BROKEN, f"broken: {len(lost)} of {asked} orders had no final answer {SLACK_MS} ms after their time"
    return s.HELD, f"held: all {asked} orders had an answer in time"


s.play(HERE, main)

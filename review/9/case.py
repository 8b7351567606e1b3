"""Servers that send some answers a second time, 8 ms late: does each client get the answer to its own request?"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins_2 as s  # noqa: E402

CLASS, TENANT = "item-buy", "dalbit"
SERVERS, PER_S, SECONDS = 3, 60, 30
WORK_MS, LATE_MS, SPOILT = 10, 8, 0.1


class ShopServer:
    """A shop server: its answer names the request that it belongs to."""

    def __init__(self, case, name):
        self.case, self.name, self.random = case, name, random.Random(name)

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.case.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while (head := await s.read_head(reader)) is not None:
                await s.read_body(reader, head[1])
                request_id = head[1]["x-request-id"]
                await asyncio.sleep(WORK_MS / 1000)
                answer = s.answer_bytes("200 OK", f"receipt of {request_id}".encode())
                writer.write(answer)
                await writer.drain()
                if s.trouble() and self.random.random() < SPOILT:
                    asyncio.create_task(self.repeat(writer, answer, request_id))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def repeat(self, writer, answer, request_id):
        """The second copy of an answer, some milliseconds after the first."""
        await asyncio.sleep(LATE_MS / 1000)
        if not writer.is_closing():
            writer.write(answer)
            self.case.record(f"server {self.name}: second copy of the answer to {request_id}")


async def order(case, port, n, counts, foreign):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"POST /{CLASS} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: r{n}\r\nX-Tenant-Id: {TENANT}\r\n"
        f"X-Timeout: 879m\r\nContent-Length: 0\r\n\r\n".encode())
    head = await asyncio.wait_for(s.read_head(reader), 4)
    body = (await s.read_body(reader, head[1])).decode()
    writer.close()
    status = int(head[0].split()[1])
    counts[status] = counts.get(status, 0) + 1
    if status == 200 and body != f"receipt of r{n}":
        foreign.append(n)
        case.record(f"client of r{n}: 200 with {body!r}")


async def main(case):
    shops = [await ShopServer(case, f"s{n}").start() for n in range(SERVERS)]
    discovery = await s.Discovery([s.member(shop.name, shop.port) for shop in shops]).start(case)
    listen = s.free_port()
    case.start_node("n0", listen, discovery.port, s.settings([s.profile(CLASS, "single_shot", 879)]))
    await s.until("the node ready", lambda: s.http_ready(listen), 20)
    counts, foreign, tasks = {}, [], []
    pauses = random.Random(1)
    for n in range(PER_S * SECONDS):
        tasks.append(asyncio.create_task(order(case, listen, n, counts, foreign)))
        await asyncio.sleep(pauses.expovariate(PER_S))
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    errors = [repr(e) for e in ended if isinstance(e, BaseException)]
    case.record(f"answers by status: {counts}; no answer: {len(errors)} {errors[:3]}")
    if counts.get(200, 0) < len(tasks) / 2:
        raise s.CouldNotRun(f"too few answers: {counts}")
    if foreign:
        return s.BROKEN, f"broken: {len(foreign)} of {counts[200]} clients got the answer to another client's request"
    return s.HELD, f"held: all {counts[200]} clients got the answers to their own requests"


s.play(HERE, main)

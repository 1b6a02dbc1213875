"""A stream is given up at a sound replica that is silent for a second, and lost, as the others have no room for it."""

import asyncio
import itertools
import signal
import sys
import time
import zlib
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import standins
from standins import Store, http_answer, manifest, read_body, read_message, route, run_case

SERVICE = "drafting-models"
REPLICAS = 4
SLOTS = 8
QUEUE = 2  # requests that a replica queues beside those that run
EVENTS = 50
EVENT_GAP_S = 0.1
SILENCE_S = 1.0
GRACE_S = 8.0  # graceS
TIME_LIMIT_S = 10.0
STREAMS = 12  # at the entry that is stopped
OTHER_CALLERS = 44  # at the other entry, more than find a place


class ModelServer:
    """A sound model replica: `SLOTS` streams run, `QUEUE` requests wait, others are rejected as not run."""

    def __init__(self, record, identity):
        self.record = record
        self.identity = identity
        self.running = 0
        self.waiting = []
        self.awake = asyncio.Event()
        self.awake.set()
        self.rejected = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def registration(self):
        return {"service": SERVICE, "address": f"127.0.0.1:{self.port}", "zone": "zone-a", "version": "v1", "slots": SLOTS,
                "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": int(time.time() * 1000)}

    async def fall_silent(self, seconds):
        self.record.say(f"{self.identity} falls silent with {self.running} streams")
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()
        self.record.say(f"{self.identity} goes on after {seconds} s")

    def load(self):
        return f"{self.running},{len(self.waiting)},{SLOTS}"

    async def serve(self, reader, writer):
        work = None
        try:
            while (message := await read_message(reader)) is not None:
                await read_body(reader, message[1])
                await self.awake.wait()
                work = asyncio.create_task(self.answer(message[1], writer))
                while not work.done():
                    await asyncio.wait((work,), timeout=0.02)
                    if self.awake.is_set() and (reader.at_eof() or reader.exception()):
                        return
                work.result()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if work and not work.done():
                work.cancel()
            writer.close()

    async def answer(self, headers, writer):
        identity = headers.get("request-id", "")
        names = {"Request-Id": identity}
        if headers.get("expect-instance", self.identity) != self.identity:
            writer.write(http_answer(421, b"", {**names, "Not-Run": "1"}))
            return await writer.drain()
        if self.running >= SLOTS and len(self.waiting) >= QUEUE:
            self.rejected.append(identity)
            self.record.write(f"{self.identity} is full ({self.load()}) and rejects {identity}")
            writer.write(http_answer(503, b"", {**names, "Not-Run": "1", "Server-Load": self.load()}))
            return await writer.drain()
        turn = asyncio.Event()
        self.waiting.append(turn)
        self.admit()
        try:
            await turn.wait()
        except asyncio.CancelledError:
            if turn.is_set():
                self.running -= 1
                self.admit()
            else:
                self.waiting.remove(turn)
            raise
        try:
            await self.stream(identity, int(headers.get("last-event-id", "0")), names, writer)
        finally:
            self.running -= 1
            self.admit()

    def admit(self):
        while self.waiting and self.running < SLOTS:
            self.running += 1
            self.waiting.pop(0).set()

    async def stream(self, identity, after, names, writer):
        self.record.write(f"run {self.identity} {identity} after event {after}")
        names = {**names, "Response-Stamp": f"stamp-{self.identity}-{identity}", "Content-Type": "text/event-stream",
                 "Server-Load": self.load(), "Transfer-Encoding": "chunked"}
        head = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in names.items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            await self.awake.wait()
            event = f"id: {number}\ndata: {identity} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Stream:
    """One request of a requester, as far as its answer has come."""

    def __init__(self, identity):
        self.identity = identity
        self.status = 0
        self.retry_after_s = 0.0
        self.events = 0
        self.is_whole = False
        self.ended_at = None


async def request(entry, stream):
    """Sends one request on a channel of its own and reads the answer to its end, or to that of the channel."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.front)
        lines = ["POST /draft/1 HTTP/1.1", "Host: host.example", f"Request-Id: {stream.identity}", "Key: key-a",
                 f"Deadline-Ms: {int(TIME_LIMIT_S * 1000)}", "Model: m", "Token-Counts: 800,500",
                 f"Prompt-Prefix: {zlib.crc32(stream.identity.encode()):08x}:800", "Content-Length: 5"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"draft")
        message = await read_message(reader)
        if message is None:
            return
        stream.status = int(message[0].split(" ")[1])
        stream.retry_after_s = float(message[1].get("retry-after", "0"))
        if "transfer-encoding" not in message[1]:
            await read_body(reader, message[1])
            stream.is_whole = True
            return
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            stream.events += (await reader.readexactly(size)).count(b"id: ")
            await reader.readexactly(2)
        stream.is_whole = True
    except (ConnectionError, OSError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        stream.ended_at = time.monotonic()
        if writer:
            writer.close()


async def play(record, make_entry):
    store = Store(record)
    await store.start()
    servers = [ModelServer(record, f"i-model-{number}") for number in range(1, REPLICAS + 1)]
    for server in servers:
        await server.start()
        await store.change("servers", server.identity, server.registration())
    drafts = route("drafts", "/draft/", SERVICE, kind="streaming", timeout_ms=10000, attempts=2)
    drafts.update(resumable=True, targetLatencyMs=800, priority=0, sticky=True)
    await store.change("config", "main", manifest(1, [drafts], [SERVICE], {"tenant-a": ["key-a"]}))
    entries = [make_entry(f"front-zone-a-{number}", store.port) for number in (1, 2)]
    for entry in entries:
        entry.start()
    for entry in entries:
        assert await entry.await_ready(), f"{entry.name} does not get ready"
    stopped, other = entries
    streams, tasks = [], []

    def begin(entry, identity):
        stream = Stream(identity)
        streams.append(stream)
        task = asyncio.create_task(request(entry, stream))
        tasks.append(task)
        return stream, task

    async def caller(number):
        """Sends one request after the other and comes back after a refusal when it is told to."""
        for count in itertools.count(1):
            stream, task = begin(other, f"other-{number}-{count}")
            await task
            await asyncio.sleep(stream.retry_after_s)

    watched = []
    for number in range(STREAMS):
        watched.append(begin(stopped, f"watched-{number}")[0])
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    callers = [asyncio.create_task(caller(number)) for number in range(OTHER_CALLERS)]
    await asyncio.sleep(1.2)
    assert all(stream.status == 200 for stream in watched), "a stream has not begun"
    stopped.process.send_signal(signal.SIGTERM)
    terminated_at = time.monotonic()
    loads = " and ".join(each.load() for each in servers)
    record.say(f"SIGTERM to {stopped.name}; the replicas have {loads} running, waiting, slots")
    await asyncio.sleep(0.3)
    if standins.TROUBLE:
        await servers[0].fall_silent(SILENCE_S)
    while time.monotonic() < terminated_at + GRACE_S and any(stream.ended_at is None for stream in watched):
        await asyncio.sleep(0.05)
    for task in callers:
        task.cancel()
    for stream in watched:
        ended = f"{stream.ended_at - terminated_at:.2f} s after the SIGTERM" if stream.ended_at else "not at all"
        record.say(f"{stream.identity}: status {stream.status}, {stream.events} of {EVENTS} events, "
                   f"{'whole' if stream.is_whole else 'not whole'}, ended {ended}")
    cut = [each for each in watched if each.ended_at and not each.is_whole
           and each.ended_at < terminated_at + GRACE_S * 5 / 6]
    if not cut:
        return None
    first = min(each.ended_at for each in cut) - terminated_at
    return (f"LOST: {len(cut)} of {len(watched)} streams that {stopped.name} had passed on to sound replicas were cut off, "
            f"the first one {first:.2f} s after its SIGTERM")


run_case(Path(__file__).parent, play)

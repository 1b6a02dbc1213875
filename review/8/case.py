"""A call of the duties that is under way as its sender is cut off arrives when the next holder has long been acting."""

import asyncio
import json
import socket
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import standins
from standins import BackendServer, Store, exchange, free_ports, manifest, read_body, read_message, route, run_case
from standins import http_answer

ENTRIES = 6  # of which one is a share of 0.167
CUT_S = 5.5  # node_cut
THAW_SLACK_S = 0.3  # thawSlackMs
GAP_S = 0.1  # between two orders at an entry
SERVICE = "order-desk"

# Seconds after which TCP on Linux sends bytes again that are not acknowledged: 0.2 at first, then twice as long each time.
SENT_AGAIN_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6, 25.4)


class Partition:
    """Cuts one machine off for a time, and tells when bytes that were sent meanwhile arrive."""

    def __init__(self):
        self.begin = None
        self.end = None

    def cut(self):
        self.begin = time.monotonic()
        self.end = self.begin + CUT_S

    def is_cut(self):
        return self.begin is not None and time.monotonic() < self.end

    def arrival(self, sent_at):
        if self.begin is None or not self.begin <= sent_at < self.end:
            return sent_at
        return next(sent_at + again for again in SENT_AGAIN_S if sent_at + again >= self.end)


class CuttableLink:
    """A TCP path to `port` that a partition holds up.

    Bytes that are under way arrive when TCP sends them again, unless their sender resets the channel. A channel that is
    opened during the cut carries nothing, as its first packet is lost.
    """

    def __init__(self, port, partition, on_data=lambda data: None):
        self.target = port
        self.partition = partition
        self.on_data = on_data

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        if self.partition.is_cut():
            while await reader.read(65536):
                pass
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, far_writer, self.on_data), self.pump(far_reader, writer, lambda data: None))

    async def pump(self, reader, writer, on_data):
        queue = asyncio.Queue()
        sending = asyncio.create_task(self.send(queue, writer))
        try:
            while data := await reader.read(65536):
                on_data(data)
                queue.put_nowait((time.monotonic(), data))
            queue.put_nowait((time.monotonic(), b""))
            await sending
        except (ConnectionError, OSError):
            # The sender has reset the channel: what is held up is lost.
            sending.cancel()
            writer.transport.abort()

    async def send(self, queue, writer):
        try:
            while True:
                sent_at, data = await queue.get()
                await asyncio.sleep(max(0.0, self.partition.arrival(sent_at) - time.monotonic()))
                if not data:
                    return writer.close()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            writer.transport.abort()


class Datagrams:
    """The paths of datagrams between the entries, each of which is known to the others by an address of this relay.

    All ports have five digits, so that an address can be replaced by another within a datagram.
    """

    def __init__(self):
        self.real = {}
        self.shown = {}
        self.partitions = {}

    async def add(self, name, real_port, partition):
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self.Receiver(self, name), local_addr=("127.0.0.1", free_ports(1)[0]))
        self.real[name] = real_port
        self.shown[name] = transport.get_extra_info("sockname")[1]
        self.partitions[name] = partition

    def translate(self, data):
        for name, port in self.real.items():
            data = data.replace(f"127.0.0.1:{port}".encode(), f"127.0.0.1:{self.shown[name]}".encode())
        return data

    class Receiver(asyncio.DatagramProtocol):
        def __init__(self, paths, name):
            self.paths, self.name = paths, name

        def connection_made(self, transport):
            self.transport = transport

        def datagram_received(self, data, sender):
            paths = self.paths
            senders = [name for name, port in paths.real.items() if port == sender[1]]
            if any(paths.partitions[name].is_cut() for name in [self.name, *senders]):
                return
            self.transport.sendto(paths.translate(data), ("127.0.0.1", paths.real[self.name]))


class TranslatingStore(Store):
    """A store at which the entries register the addresses by which the others reach them."""

    def __init__(self, record, paths):
        super().__init__(record)
        self.paths = paths

    def apply(self, kind, name, spec=None, status=None, removed=False):
        if kind == "entry-registrations" and spec is not None:
            spec = json.loads(self.paths.translate(json.dumps(spec).encode()))
        return super().apply(kind, name, spec, status, removed)


class Platform:
    """The platform's API for duties, which accepts each call."""

    def __init__(self, record):
        self.record = record
        self.calls = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                body = json.loads(await read_body(reader, message[1]))
                holder, number = message[1]["duty-holder"], int(message[1]["fence-token"])
                self.calls.append((time.monotonic(), holder, number, body))
                self.record.say(f"call {message[0]} of {holder}, number {number}: {json.dumps(body)}")
                writer.write(http_answer(200, b"{}", {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def broken(calls, healed_at):
    """Returns what of the rule the calls break, None where they keep it."""
    counted = [call for call in calls if healed_at is None or not healed_at <= call[0] <= healed_at + THAW_SLACK_S]
    highest = None
    for call in counted:
        arrived_at, holder, number, body = call
        if highest is None or number >= highest[2]:
            highest = call
            continue
        late = f", {arrived_at - healed_at:.2f} s after its link has healed" if healed_at else ""
        return (f"ONE: a call of {holder} with number {number} for window {body['windowId']} arrives "
                f"{arrived_at - highest[0]:.2f} s after one of {highest[1]} with number {highest[2]}{late}")
    told = {}
    for _, _, _, body in counted:
        first = told.setdefault(body["windowId"], body["counts"])
        if first != body["counts"]:
            return f"ONE: window {body['windowId']} is told as {first} and as {body['counts']}"
    return None


async def play(record, make_entry):
    paths = Datagrams()
    store = TranslatingStore(record, paths)
    await store.start()
    platform = Platform(record)
    await platform.start()
    server = BackendServer(record, "i-order-1", SERVICE)
    await server.start()
    await store.change("servers", server.identity, server.registration())
    await store.change("config", "main", manifest(1, [route("orders", "/order/", SERVICE)], [SERVICE],
                                                  {"tenant-a": ["key-a"]}))
    entries, partitions = [], []
    is_armed = asyncio.Event()

    def watcher(partition, name):
        def on_data(data):
            if is_armed.is_set() and data.startswith(b"POST /usage") and not any(each.begin for each in partitions):
                partition.cut()
                record.say(f"{name} is cut off for {CUT_S} s as a call of its duties is under way")
        return on_data

    for number in range(1, ENTRIES + 1):
        name = f"front-zone-a-{number}"
        partition = Partition()
        to_store = CuttableLink(store.port, partition)
        to_platform = CuttableLink(platform.port, partition, watcher(partition, name))
        await to_store.start()
        await to_platform.start()
        entry = make_entry(name, to_store.port)
        settings = json.loads(entry.settings.read_text())
        settings["cloudApi"]["address"] = f"127.0.0.1:{to_platform.port}"
        entry.settings.write_text(json.dumps(settings))
        await paths.add(name, settings["portRange"][0], partition)
        entries.append(entry)
        partitions.append(partition)
    for entry in entries:
        entry.start()
    for entry in entries:
        assert await entry.await_ready(), f"{entry.name} does not get ready"

    async def send(entry, identity):
        headers = {"Host": "host.example", "Request-Id": identity, "Deadline-Ms": "1000", "Key": "key-a"}
        answer = await exchange(entry.front, "POST", "/order/1", headers, b"order", 1.6)
        record.write(f"sent {identity} to {entry.name}: {answer.status}")

    waiting = []

    async def send_until(is_over):
        while not is_over():
            waiting.extend(asyncio.create_task(send(entry, f"{entry.name[-1]}-{len(waiting)}")) for entry in entries)
            await asyncio.sleep(GAP_S)

    deadline = time.monotonic() + 30
    await send_until(lambda: len(platform.calls) >= 2 or time.monotonic() > deadline)
    assert len(platform.calls) >= 2, "no usage is told"
    if standins.TROUBLE:
        is_armed.set()
        await send_until(lambda: any(each.begin for each in partitions) or time.monotonic() > deadline + 10)
    cut = next((each for each in partitions if each.begin), None)
    until = (cut.end if cut else time.monotonic() + CUT_S) + 6.0
    await send_until(lambda: time.monotonic() > until)
    await asyncio.wait(waiting, timeout=5)
    return broken(platform.calls, cut.end if cut else None)


run_case(Path(__file__).parent, play)

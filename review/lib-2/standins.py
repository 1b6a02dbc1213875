"""Stand-ins of the platform's store, of backend servers and of callers, and the entries as processes.

All of them listen on loopback. The stand-ins run in one asyncio loop; each entry is a process of its own that is
started by the commands of the deploy file and reaches the store by a link of its own, which a script can cut.
"""

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(f"{self.now():9.3f} {text}", flush=True)


async def read_message(reader):
    """Reads the start line, the headers and the body of one HTTP message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def http_answer(status, body=b"", headers=None):
    names = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
             503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {names.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Changes:
    """Wakes all who wait for a change; what is done within `async with` waits for nothing else."""

    def __init__(self):
        self.waiting = set()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *failure):
        return False

    def notify_all(self):
        for each in self.waiting:
            if not each.done():
                each.set_result(None)

    async def wait(self):
        woken = asyncio.get_running_loop().create_future()
        self.waiting.add(woken)
        try:
            await woken
        finally:
            self.waiting.discard(woken)


class Store:
    """The platform's store and its calls for duties: objects with revisions, watches, and eras of restored copies."""

    PAGE = 500
    HISTORY_S = 20  # historyS

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.history = []
        self.revision = 100
        self.oldest = 0
        self.era = 1
        self.is_away = False
        self.changed = Changes()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def change(self, kind, name, spec, removed=False):
        """Writes as the operator or a backend server does; returns the time of the acknowledgement."""
        async with self.changed:
            self.apply(kind, name, spec=spec, removed=removed)
            self.changed.notify_all()
        return time.monotonic()

    def apply(self, kind, name, spec=None, status=None, removed=False):
        self.revision += 1
        known = self.objects.get((kind, name))
        item = {
            "metadata": {"name": name, "rev": self.revision, "created": known["metadata"]["created"] if known else
                         self.revision, "finalizers": [], "deleting": False},
            "spec": spec if spec is not None else (known or {}).get("spec"),
            "status": status if status is not None else (known or {}).get("status"),
        }
        if removed:
            self.objects.pop((kind, name), None)
        else:
            self.objects[(kind, name)] = item
        self.history.append((self.revision, kind, item, removed, time.monotonic()))
        return item

    def copy(self):
        return dict(self.objects), self.revision

    async def away(self):
        """The store is away: connections are reset, new ones are closed."""
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    async def restore(self, copy):
        """Comes back from `copy`; what was written since is gone and the era rises by one."""
        async with self.changed:
            self.objects, self.revision = dict(copy[0]), copy[1]
            self.history = [entry for entry in self.history if entry[0] <= self.revision]
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    async def serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                body = await read_body(reader, message[1])
                method, uri, _ = message[0].split(" ")
                status, answer = await self.answer(method, uri, body, message[1])
                if self.is_away:
                    writer.transport.abort()
                    return
                data = answer if isinstance(answer, bytes) else json.dumps(answer, separators=(",", ":")).encode()
                headers = {"Content-Type": "application/json", "Store-Era": self.era}
                writer.write(http_answer(status, data, headers))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, uri, body, headers):
        parts = urllib.parse.urlsplit(uri)
        if not parts.path.startswith("/-/objects/"):
            self.record.write(f"duty {method} {uri} {headers.get('duty-holder')} {headers.get('fence-token')} "
                              f"{body.decode()}")
            return 200, {}
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = [urllib.parse.unquote(part) for part in parts.path.removeprefix("/-/objects/").split("/")]
        if method == "GET":
            if len(path) > 1:
                item = self.objects.get((path[0], path[1]))
                return (200, item) if item else (404, {})
            if "watch" in query:
                return await self.watch(path[0], int(query["watch"]), int(query.get("waitMs", "0")) / 1000)
            return 200, self.list(path[0], query.get("after", ""))
        return await self.write(method, path, query, json.loads(body) if body else {})

    def list(self, kind, after):
        names = sorted(name for of_kind, name in self.objects if of_kind == kind and name > after)
        items = [self.objects[(kind, name)] for name in names[: self.PAGE]]
        return {"items": items, "hasMore": len(names) > self.PAGE, "currentRev": self.revision}

    async def watch(self, kind, after, seconds):
        until = time.monotonic() + seconds
        era = self.era
        async with self.changed:
            while True:
                while self.history and time.monotonic() - self.history[0][4] > self.HISTORY_S:
                    self.oldest = self.history.pop(0)[0]
                if after < self.oldest or after > self.revision or era != self.era:
                    return 410, {}
                events = [{"object": item, "tombstone": removed} for revision, of_kind, item, removed, _ in
                          self.history if of_kind == kind and revision > after]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def write(self, method, path, query, message):
        kind = path[0]
        properties = message.get("metadata", {})
        name = path[1] if len(path) > 1 else properties["name"]
        expected = query.get("rev", properties.get("rev"))
        async with self.changed:
            known = self.objects.get((kind, name))
            if method == "POST":
                if known:
                    return 409, known
            elif known is None:
                return 404, {}
            elif expected is not None and int(expected) != known["metadata"]["rev"]:
                return 409, known
            if method == "DELETE":
                item = self.apply(kind, name, removed=True)
            elif len(path) > 2:
                item = self.apply(kind, name, status=message.get("status"))
            else:
                item = self.apply(kind, name, spec=message.get("spec"))
            self.changed.notify_all()
            return 200, item


class Link:
    """A TCP proxy on the way to `port`.

    A script can cut it: then nothing passes until it heals. It can also silence open channels for good, while others
    and new ones work.
    """

    def __init__(self, port):
        self.target = port
        self.open = asyncio.Event()
        self.open.set()
        self.channels = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def silence(self, is_chosen):
        """Silences the open channels whose last request line `is_chosen`; returns their number and that of all."""
        open_channels = [channel for channel in self.channels if not channel.is_closed]
        chosen = [channel for channel in open_channels if is_chosen(channel.last_request)]
        for channel in chosen:
            channel.is_silent = True
        return len(chosen), len(open_channels)

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def serve(self, reader, writer):
        try:
            await self.relay(reader, writer)
        except asyncio.CancelledError:
            writer.close()

    async def relay(self, reader, writer):
        await self.open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        channel = Channel()
        self.channels.append(channel)
        await asyncio.gather(self.pump(reader, far_writer, channel, True), self.pump(far_reader, writer, channel, False))

    async def pump(self, reader, writer, channel, is_request):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                if is_request:
                    channel.last_request = data.split(b"\r\n", 1)[0].decode("latin-1")
                if not channel.is_silent:
                    writer.write(data)
                    await writer.drain()
            await self.open.wait()
            channel.is_closed = True
            if not channel.is_silent:
                writer.close()
        except (ConnectionError, OSError):
            channel.is_closed = True
            writer.transport.abort()


class Channel:
    """One connection through a link, with the first line of the last request on it."""

    def __init__(self):
        self.last_request = ""
        self.is_silent = False
        self.is_closed = False


class BackendServer:
    """A sound backend server that runs each request that names it, and records the runs."""

    def __init__(self, record, identity, service, work_s=0.005, slots=64, zone="zone-a"):
        self.record = record
        self.identity = identity
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.zone = zone
        self.is_leaving = False
        self.born = int(time.time() * 1000)
        self.runs = []
        self.open = 0
        self.free_slots = asyncio.Semaphore(slots)
        self.writers = set()

    def end(self):
        """Ends as a process does: its channels are reset and nobody listens any more."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def registration(self, state="ready"):
        """Returns its entry in the store; a server that drains says so in all its answers from then on, too."""
        self.is_leaving = state == "draining"
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldLeftMs": 0, "sequence": 1, "born": self.born}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                body = await read_body(reader, message[1])
                answer = await self.answer(message[0], message[1], body)
                if self.is_leaving:
                    answer = answer.replace(b"\r\n", b"\r\nServer-Leaving: 1\r\n", 1)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, headers, body):
        identity = headers.get("request-id", "")
        if headers.get("expect-instance", self.identity) != self.identity:
            return http_answer(421, b"", {"Request-Id": identity, "Not-Run": "1"})
        method, path, _ = line.split(" ")
        arrived_at = time.monotonic()
        self.open += 1
        async with self.free_slots:
            self.runs.append((identity, path, headers, arrived_at))
            self.record.write(f"run {self.identity} {method} {path} request={identity} tenant={headers.get('tenant')}")
            await asyncio.sleep(self.work_s)
        self.open -= 1
        load = f"{min(self.open, self.slots)},{max(0, self.open - self.slots)},{self.slots}"
        answer = f"answer of {self.identity} to {identity}".encode()
        return http_answer(200, answer, {"Request-Id": identity, "Response-Stamp": f"stamp-{self.identity}-{identity}",
                                         "Server-Load": load})


FIRST_PORT = 12_000
PORTS_OF_SCRIPT = 60
SCRIPTS = 330
next_port = itertools.count(FIRST_PORT + os.getpid() % SCRIPTS * PORTS_OF_SCRIPT)


def free_ports(count):
    """Returns `count` free ports in a row.

    They lie below the range from which the system takes those of outgoing connections, and scripts that run side by
    side take theirs from ranges of their own.
    """
    while True:
        ports = [next(next_port) for _ in range(count)]
        held = []
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind(("127.0.0.1", port))
            return ports
        except OSError:
            continue
        finally:
            for each in held:
                each.close()


class Entry:
    """One entry as a process, with the settings of a small deployment (DEPLOY.md)."""

    def __init__(self, record, folder, name, store_port, memory_mb=430):
        self.record = record
        self.name = name
        front, ready, directory, control, first, _ = free_ports(6)
        self.front, self.ready, self.directory = front, ready, directory
        self.settings = Path(folder) / f"{name}.json"
        self.log = open(Path(folder) / f"{name}.log", "ab")
        self.process = None
        address = lambda port: f"127.0.0.1:{port}"
        self.settings.write_text(json.dumps({
            "nodeName": name, "role": "entry", "machineClass": "front", "serves": ["front", "directory"],
            "ip": "127.0.0.1", "zone": "zone-a", "region": "region-a", "zones": {"zone-a": "region-a", "zone-b": "region-a"},
            "listen": {"front": address(front), "readiness": address(ready), "control": address(control),
                       "directory": address(directory)},
            "portRange": [first, first + 1], "seeds": [], "bootstrap": True,
            "limits": {"cpuShare": 0.75, "cores": 1, "memoryMb": memory_mb, "maxFds": 4100, "linkMbps": 1000.0},
            "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
            "bounds": {"contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
                       "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
                       "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                       "budgetExtra": 56, "quotaWindowS": 8, "quotaExcess": 0.1, "quotaSlack": 140000,
                       "requireFence": False, "leaseMs": 3000, "thawSlackMs": 300, "usageWindowS": 5,
                       "usageOff": 0.05, "usageLateS": 10, "exposureShare": 0.1, "exposureSlack": 50,
                       "rollbackMs": 5000, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120},
            "platform": {"address": address(store_port), "form": "objects", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
            "cloudApi": {"address": address(store_port), "ratePerS": 50.0, "duties": ["usage"], "dutyPerS": 50.0},
        }))

    def start(self):
        role = (ROOT / "deploy/system.toml").read_text().split("[roles.entry]")[1]
        command = re.search(r'^run = "(.*)"$', role, re.MULTILINE).group(1).split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG") if name in os.environ}
        environment["YUCCAJUNCTION_BOOT"] = str(self.settings)
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=subprocess.STDOUT)
        self.record.write(f"entry {self.name} started, process {self.process.pid}")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.record.write(f"entry {self.name} killed")

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(exchange(self.ready, "GET", "/-/ready", {"Host": "ready"}), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer.status == 200

    async def await_ready(self, seconds=30):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Directory:
    """What requesters know of the entries: the newest answer of the directory, kept while there is no new one."""

    TTL_S = 1.0

    def __init__(self, record, entries):
        self.record = record
        self.entries = entries
        self.named = []

    async def follow(self):
        while True:
            await self.ask()
            await asyncio.sleep(self.TTL_S)

    async def ask(self):
        """Asks the entries in any order, for one second each; an answer without addresses is a failure."""
        for entry in random.sample(self.entries, len(self.entries)):
            path = "/-/resolve?name=host.example&region=region-a&zone=zone-a"
            answer = await exchange(entry.directory, "GET", path, {"Host": "directory"}, seconds=1.0)
            addresses = json.loads(answer.body).get("addresses") if answer.status == 200 else None
            if addresses:
                named = [each for each in self.entries if f"127.0.0.1:{each.front}" in addresses]
                if named != self.named:
                    self.record.write(f"the directory names {', '.join(each.name for each in named)}")
                self.named = named
                return


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def exchange(port, method, path, headers, body=b"", seconds=5.0):
    """Sends one request on a connection of its own; the status is 0 where no whole answer came."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port, limit=8 << 20), seconds)
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        message = await asyncio.wait_for(read_message(reader), seconds)
        if message is None:
            return Answer(0, {}, b"")
        received = await asyncio.wait_for(read_body(reader, message[1]), seconds)
        return Answer(int(message[0].split(" ")[1]), message[1], received)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"")
    finally:
        if writer:
            writer.close()


def route(name, prefix, service, kind="unsafe", public=False, timeout_ms=1000, attempts=1):
    return {"name": name, "host": "host.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": attempts, "public": public,
            "sticky": False, "resumable": False, "gapTargetMs": 400}


def service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False, "coldStartS": 0.0,
            "coldPerS": 0.0}


def manifest(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": [service(name) for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": keys, "priority": 1, "unit": "requests", "plainTokens": 200,
                         "ratePerS": 0, "burst": 0} for name, keys in tenants.items()]}


LONGEST_RUN_S = 112
LONGEST_PLAY_S = 105


def run_case(folder, play):
    """Runs `play(record, make_entry)`; the process ends with 1 where it returns what is wrong, with 0 where nothing is.

    It ends with 2 where the case could not run, and in any case before a run may last no longer.
    """
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="review-")
    entries = []

    def end(status, text):
        for entry in entries:
            entry.kill()
            if os.environ.get("KEEP_LOGS"):
                shutil.copy(Path(work) / f"{entry.name}.log", Path(os.environ["KEEP_LOGS"]) / f"{entry.name}.log")
        shutil.rmtree(work, ignore_errors=True)
        record.say(text)
        # Nothing of the stand-ins is waited for.
        os._exit(status)

    def make_entry(name, store_port):
        entries.append(Entry(record, work, name, store_port))
        return entries[-1]

    async def main():
        try:
            wrong = await asyncio.wait_for(play(record, make_entry), LONGEST_PLAY_S)
        except Exception as failure:
            end(2, f"could not run: {failure!r}")
        else:
            end(1 if wrong else 0, f"BROKEN: {wrong}" if wrong else "HELD")

    if not (ROOT / "target/yuccajunction.jar").exists():
        end(2, "could not run: target/yuccajunction.jar is missing; run the build of the deploy file first")
    watchdog = threading.Timer(LONGEST_RUN_S, end, (2, "could not run: the case took too long"))
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: end(2, "could not run: ended by a signal"))
    record.say(f"TROUBLE={'1' if TROUBLE else '0'}")
    asyncio.run(main())

"""Stand-ins of the platform (object store, duty calls) and helpers that start the project's program.

Everything listens on loopback. Only the standard library of Python 3 is used.
"""

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
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
LOOPBACK = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt` in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


_taken = set()


def free_ports(count):
    """Returns ports that are free now, below the usual range of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 31000)
        if port in _taken:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((LOOPBACK, port))
        except OSError:
            continue
        _taken.add(port)
        ports.append(port)
    return ports


def free_pair():
    """Returns the first of two adjacent free ports."""
    while True:
        first, = free_ports(1)
        if first + 1 in _taken:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((LOOPBACK, first + 1))
        except OSError:
            continue
        _taken.add(first + 1)
        return first


class RawValue:
    """A JSON value of another writer, kept as its text."""

    texts = []

    def __init__(self, text):
        self.number = len(self.texts)
        self.texts.append(text)


class Platform:
    """The platform's object store and its duty calls, as PROTOCOL.md describes them."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.condition = threading.Condition()
        self.objects = {}
        self.history = []
        self.revision = 100
        self.oldest = 0
        self.era = None
        self.down = False
        self.duty_calls = []
        self.on_duty_call = None
        platform = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                platform.answer(self, body)

            do_GET = do_POST = do_PUT = do_DELETE = handle_call

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self.server = Server((LOOPBACK, 0), Handler)
        self.address = f"{LOOPBACK}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    # What the operator and the servers write.

    def put(self, kind, name, spec):
        with self.condition:
            return self._change(kind, name, spec=spec)

    def remove(self, kind, name):
        with self.condition:
            known = self.objects.pop((kind, name), None)
            if known:
                self.revision += 1
                self.history.append((self.revision, kind, dict(known, rev=self.revision), True))
                self.condition.notify_all()

    def get(self, kind, name):
        with self.condition:
            return self.objects.get((kind, name))

    def _change(self, kind, name, **fields):
        known = self.objects.get((kind, name))
        changed = dict(known) if known else {"name": name, "created": self.revision + 1, "spec": None, "status": None}
        changed.update(fields)
        self.revision += 1
        changed["rev"] = self.revision
        self.objects[(kind, name)] = changed
        self.history.append((self.revision, kind, changed, False))
        self.condition.notify_all()
        return changed

    @staticmethod
    def _message(stored):
        metadata = {"name": stored["name"], "rev": stored["rev"], "created": stored["created"], "finalizers": [], "deleting": False}
        return {"metadata": metadata, "spec": stored["spec"], "status": stored["status"]}

    # Calls of the entries.

    @staticmethod
    def encode(message):
        """Encodes a message; a value that another writer left as text of its own is put in as it is."""
        text = json.dumps(message, default=lambda value: f"\0{value.number}\0")
        return re.sub(r'"\\u0000(\d+)\\u0000"', lambda found: RawValue.texts[int(found.group(1))], text).encode()

    def send(self, call, status, message):
        body = self.encode(message)
        call.send_response(status)
        call.send_header("Content-Type", "application/json")
        call.send_header("Content-Length", str(len(body)))
        if self.era is not None:
            call.send_header("Store-Era", str(self.era))
        call.end_headers()
        call.wfile.write(body)

    def answer(self, call, body):
        url = urllib.parse.urlsplit(call.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if not url.path.startswith("/-/objects/"):
            return self.answer_duty(call, url.path, body)
        if self.down:
            call.close_connection = True
            return
        parts = [urllib.parse.unquote_plus(part) for part in url.path[len("/-/objects/"):].split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if call.command == "GET" and name is None and "watch" in query:
            return self.watch(call, kind, int(query["watch"]), int(query.get("waitMs", "0")))
        with self.condition:
            status, message = self.execute(call.command, kind, name, len(parts) > 2, query, body)
        self.send(call, status, message)

    def execute(self, method, kind, name, is_status, query, body):
        if method == "GET" and name is None:
            after = query.get("after", "")
            found = sorted((o for (k, n), o in self.objects.items() if k == kind and n > after), key=lambda o: o["name"])
            page = [self._message(o) for o in found[: self.PAGE]]
            return 200, {"items": page, "hasMore": len(found) > self.PAGE, "currentRev": self.revision}
        if method == "GET":
            stored = self.objects.get((kind, name))
            return (200, self._message(stored)) if stored else (404, {})
        message = json.loads(body) if body else {}
        metadata = message.get("metadata") or {}
        if method == "POST":
            name = metadata.get("name")
            if (kind, name) in self.objects:
                return 409, self._message(self.objects[(kind, name)])
            return 201, self._message(self._change(kind, name, spec=message.get("spec")))
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, {}
        expected = metadata.get("rev", query.get("rev"))
        if expected is not None and int(expected) != stored["rev"]:
            return 409, self._message(stored)
        if method == "DELETE":
            self.remove(kind, name)
            return 200, self._message(stored)
        field = "status" if is_status else "spec"
        if stored[field] == message.get(field):
            return 200, self._message(stored)
        return 200, self._message(self._change(kind, name, **{field: message.get(field)}))

    def watch(self, call, kind, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.condition:
            while True:
                if self.down:
                    call.close_connection = True
                    return
                if after < self.oldest or after > self.revision:
                    status, message = 410, {}
                    break
                events = [
                    {"object": self._message(o), "tombstone": gone}
                    for rev, k, o, gone in self.history
                    if k == kind and rev > after
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    status, message = 200, {"events": events, "currentRev": self.revision}
                    break
                self.condition.wait(left)
        self.send(call, status, message)

    def answer_duty(self, call, path, body):
        entry = {
            "at": time.monotonic(),
            "path": path,
            "holder": call.headers.get("Duty-Holder"),
            "fence": int(call.headers.get("Fence-Token") or -1),
            "body": json.loads(body or b"{}"),
        }
        self.record.write(f"duty call {path} holder={entry['holder']} fence={entry['fence']} {json.dumps(entry['body'])}")
        with self.condition:
            self.duty_calls.append(entry)
        self.send(call, 200, {})

    # Outages.

    def set_down(self, down):
        with self.condition:
            self.down = down
            self.condition.notify_all()

    def snapshot(self):
        with self.condition:
            return dict(self.objects), list(self.history), self.revision

    def restore(self, copy):
        """Goes back to the state of an older copy, as in a drill of the store."""
        with self.condition:
            self.objects, self.history, self.revision = dict(copy[0]), list(copy[1]), copy[2]
            self.condition.notify_all()

    def close(self):
        self.server.shutdown()


BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "strictRevoke": True,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 58, "quotaWindowS": 8,
    "quotaExcess": 0.1, "quotaSlack": 140000, "requireFence": False, "leaseMs": 3000, "thawSlackMs": 300,
    "usageWindowS": 5, "usageOff": 0.05, "usageLateS": 10, "exposureShare": 0.1, "exposureSlack": 50,
    "rollbackMs": 5000, "coldExcess": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120,
    "retryAfterS": 6.8, "ttl_max_s": 5,
}


def deploy_command():
    """Returns the words of the line `run` of the role in deploy/system.toml."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as text:
        found = re.search(r'^run = "(.*)"$', text.read(), re.MULTILINE)
    return found.group(1).split()


class Entry:
    """One process of the project's program, started as the deploy file says."""

    def __init__(self, name, zone, platform, folder, record, zones):
        self.name, self.zone, self.record = name, zone, record
        front, readiness, directory = free_ports(3)
        peer = free_pair()
        metrics = peer + 1
        self.front, self.readiness, self.directory = front, readiness, directory
        self.settings = os.path.join(folder, f"{name}.json")
        self.log = os.path.join(folder, f"{name}.log")
        at = lambda port: f"{LOOPBACK}:{port}"
        fields = {
            "nodeName": name, "role": "entry", "machineClass": "front", "serves": ["front", "directory"], "ip": LOOPBACK,
            "zone": zone, "region": "region-1", "zones": {z: "region-1" for z in zones},
            "listen": {"front": at(front), "readiness": at(readiness), "directory": at(directory)},
            "portRange": [peer, metrics], "seeds": [], "bootstrap": True, "inTolerance": False,
            "limits": {"cpuShare": 0.75, "cores": 1, "memoryMb": 430, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota",
                          "leader", "rollout", "places", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": platform.address, "form": "objects", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
            "cloudApi": {"address": platform.address, "ratePerS": 50.0, "duties": ["usage", "autoscale"], "dutyPerS": 50.0},
        }
        with open(self.settings, "w", encoding="utf-8") as out:
            json.dump(fields, out)
        self.process = None
        self.start()

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        environment["YUCCAJUNCTION_BOOT"] = self.settings
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(deploy_command(), cwd=ROOT, env=environment, stdout=out, stderr=subprocess.STDOUT,
                                            stdin=subprocess.DEVNULL)
        self.record.write(f"started {self.name}, process {self.process.pid}")

    def signal(self, number):
        self.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((LOOPBACK, self.readiness), 1) as connection:
                connection.settimeout(1)
                connection.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def log_text(self):
        with open(self.log, encoding="utf-8", errors="replace") as text:
            return text.read()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def await_that(what, condition, seconds=30):
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise CannotRun(f"{what} did not come about in {seconds} s")
        time.sleep(0.05)


def read_head(connection, data=b""):
    """Reads from a socket up to the end of an HTTP head; returns the head and the bytes after it, or None."""
    while b"\r\n\r\n" not in data:
        try:
            more = connection.recv(65536)
        except OSError:
            return None
        if not more:
            return None
        data += more
    head, rest = data.split(b"\r\n\r\n", 1)
    return head.decode("latin-1"), rest


def headers_of(head):
    lines = head.split("\r\n")
    return {k.strip().lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:] if ":" in line)}


class Answer:
    """What a client got: status, headers, body, and whether the answer was complete by its framing."""

    def __init__(self, status, headers, body, complete, detail=""):
        self.status, self.headers, self.body, self.complete, self.detail = status, headers, body, complete, detail

    def __str__(self):
        return f"status={self.status} complete={self.complete} bytes={len(self.body)} {self.detail}"


def read_answer(connection, bytes_per_second=None, seconds=20):
    """Reads one answer; with a rate, reads as slowly as a link of that rate."""
    connection.settimeout(seconds)
    found = read_head(connection)
    if found is None:
        return Answer(None, {}, b"", False, "the channel ended before a head")
    head, body = found
    headers = headers_of(head)
    status = int(head.split(" ", 2)[1])
    chunked = headers.get("transfer-encoding", "").lower() == "chunked"
    length = int(headers.get("content-length", "-1"))
    detail = ""
    buffer = bytearray(body)
    started, received = time.monotonic(), len(body)
    ended = False
    while not ended:
        if chunked and (buffer.endswith(b"\r\n0\r\n\r\n") or buffer == b"0\r\n\r\n"):
            break
        if not chunked and 0 <= length <= len(buffer):
            break
        if bytes_per_second:
            ahead = received / bytes_per_second - (time.monotonic() - started)
            if ahead > 0:
                time.sleep(ahead)
        try:
            more = connection.recv(32768)
        except OSError as error:
            detail, ended = f"the channel broke: {error}", True
            continue
        if not more:
            ended = True
            detail = "the channel ended"
        buffer += more
        received += len(more)
    if chunked:
        whole, payload = parse_chunks(bytes(buffer))
        return Answer(status, headers, payload, whole, detail)
    if length < 0:
        return Answer(status, headers, bytes(buffer), True, detail)
    return Answer(status, headers, bytes(buffer[:length]), len(buffer) >= length, detail)


def parse_chunks(data):
    payload = bytearray()
    while True:
        line, separator, rest = data.partition(b"\r\n")
        if not separator:
            return False, bytes(payload)
        size = int(line.split(b";")[0], 16)
        if size == 0:
            return rest.startswith(b"\r\n"), bytes(payload)
        payload += rest[:size]
        if len(rest) < size + 2:
            return False, bytes(payload)
        data = rest[size + 2:]


def request_bytes(method, path, host, request_id, headers=None, body=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {request_id}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def connect(port, receive_buffer=None, seconds=20):
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(seconds)
    connection.connect((LOOPBACK, port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


class Server:
    """A backend server; `serve(connection, head, headers, rest)` answers and returns whether the channel stays open.

    Registers itself in the store, is asked for work by `Expect-Instance`, and answers 421 to work for another one.
    """

    def __init__(self, platform, record, name, service, zone, serve, slots=8, receive_buffer=None, in_process=False):
        self.platform, self.record, self.name, self.service, self.zone = platform, record, name, service, zone
        self.serve, self.slots = serve, slots
        self.born = int(time.time() * 1000)
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.bind((LOOPBACK, 0))
        self.listener.listen(128)
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"
        self.connections = set()
        self.child = None
        if in_process:
            self._fork()
        else:
            threading.Thread(target=self._accept, daemon=True).start()

    def _fork(self):
        """Serves in a process of its own, which `crash` kills; its open channels end as the system ends them."""
        self.child = os.fork()
        if self.child == 0:
            for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
                signal.signal(number, signal.SIG_DFL)
            signal.alarm(120)
            self.record.lock = threading.Lock()
            try:
                self._accept()
            finally:
                os._exit(0)
        self.listener.close()
        self.record.write(f"started {self.name}, process {self.child}")

    def crash(self):
        if self.child:
            os.kill(self.child, signal.SIGKILL)
            os.waitpid(self.child, 0)
            self.child = None

    def register(self, state="ready"):
        self.platform.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "coldLeftMs": 0, "sequence": 1, "born": self.born,
        })

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._handle, args=(connection,), daemon=True).start()

    def _handle(self, connection):
        self.connections.add(connection)
        rest = b""
        try:
            while True:
                found = read_head(connection, rest)
                if found is None:
                    return
                head, rest = found
                headers = headers_of(head)
                if headers.get("expect-instance", self.name) != self.name:
                    connection.sendall(self.answer_bytes(headers, "421 Misdirected Request", b"", {"Not-Run": "1"}))
                    return
                rest = self.serve(self, connection, head, headers, rest)
                if rest is None:
                    return
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def read_body(self, connection, headers, rest):
        length = int(headers.get("content-length", "0"))
        body = bytearray(rest)
        while len(body) < length:
            more = connection.recv(65536)
            if not more:
                raise OSError("the channel ended inside a body")
            body += more
        return bytes(body[:length]), bytes(body[length:])

    def answer_bytes(self, headers, status, body, extra=None, length=True):
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {headers.get('request-id', '')}", "Keep-Alive: timeout=10"]
        if status.startswith("2"):
            lines.append(f"Response-Stamp: stamp.{self.name}.{headers.get('request-id', '')}")
        lines += [f"{name}: {value}" for name, value in (extra or {}).items()]
        if length:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def reset(self, connection):
        """Closes a channel with a reset, as the system does for a process that crashes with unread bytes."""
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        connection.close()


def configuration(version, routes, services, tenants=None, limits=None):
    message = {
        "version": version, "routes": routes, "services": services,
        "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }
    if tenants is not None:
        message["tenants"] = tenants
    return message


def route(name, path, service, kind="unsafe", timeout_ms=10000, target_ms=1000, attempts=1, **more):
    return dict({
        "name": name, "host": "desk.example", "pathPrefix": path, "service": service, "kind": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms, "maxAttempts": attempts, "priority": 1,
    }, **more)


def service(name, **more):
    return dict({"name": name, "maxConns": 110, "healthPath": "/health", "coldStartS": 0, "coldPerS": 0}, **more)


def play(case_file, script):
    """Runs `script(trouble, record, folder, closers)`; it returns whether the rule held. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.dirname(os.path.abspath(case_file)))
    folder = tempfile.mkdtemp(prefix="review-")
    closers = []
    code = 2

    def stop(number, _):
        raise CannotRun("the time of the case is over" if number == signal.SIGALRM else "told to end")

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    signal.alarm(105)
    try:
        record.write(f"disruption {'on' if trouble else 'off'}")
        held = script(trouble, record, folder, closers)
        record.write("the rule held" if held else "THE RULE WAS BROKEN")
        code = 0 if held else 1
    except CannotRun as problem:
        record.write(f"the case could not run: {problem}")
    except Exception as problem:  # a fault of the script itself
        record.write(f"the case could not run: {type(problem).__name__}: {problem}")
    finally:
        signal.alarm(0)
        for close in reversed(closers):
            try:
                close()
            except Exception as problem:
                record.write(f"while closing: {problem}")
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)

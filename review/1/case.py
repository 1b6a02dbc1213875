"""A server crashes while it writes an answer whose length it has not given, and while it still owes the body's end.

It has begun its answer before it has read the whole body. The system resets the channels of a process that ends with
unread bytes, so the entry knows that the answer is not complete.
"""

import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

BODY = b"b" * 4_000_000  # below maxBodyBytes, 4,194,304
ANSWER = bytes(range(256)) * 400
FIRST_PART = len(ANSWER) // 2
SERVERS = 4  # of which one is killed


def serve(server, connection, head, headers, rest):
    request_id = headers["request-id"]
    server.record.write(f"{server.name} runs {request_id} and sends {FIRST_PART} of {len(ANSWER)} bytes of its answer")
    first = server.answer_bytes(headers, "200 OK", ANSWER[:FIRST_PART], {"Connection": "close"}, length=False)
    connection.sendall(first)
    time.sleep(1.5)
    body, _ = server.read_body(connection, headers, rest)
    server.record.write(f"{server.name} has read the body of {request_id}, unchanged: {body == BODY}; sends the rest")
    connection.sendall(ANSWER[FIRST_PART:])
    return None


def script(trouble, record, folder, closers):
    platform = s.Platform(record)
    closers.append(platform.close)
    servers = [
        s.Server(platform, record, f"app-{n}", "app", "zone-a", serve, receive_buffer=16384, in_process=True)
        for n in range(SERVERS)
    ]
    closers.extend(server.crash for server in servers)
    platform.put("config", "main", s.configuration(7, [s.route("r", "/order/", "app", kind="unsafe")], [s.service("app")]))
    for server in servers:
        server.register()
    entry = s.Entry("entry-1", "zone-a", platform, folder, record, ["zone-a"])
    closers.append(entry.end)
    s.await_that("the entry being ready", entry.is_ready)
    time.sleep(3.5)
    connection = s.connect(entry.front)
    connection.sendall(s.request_bytes("POST", "/order/x", "desk.example", "request-1", {"Deadline-Ms": "8000"}, BODY))
    time.sleep(0.5)
    if trouble:
        with open(record.file.name, encoding="utf-8") as text:
            lines = text.read()
        running = [server for server in servers if f"{server.name} runs request-1" in lines]
        if len(running) != 1:
            raise s.CannotRun("no server runs the request")
        running[0].crash()
        record.write(f"{running[0].name} is killed")
    answer = s.read_answer(connection)
    connection.close()
    whole = answer.body == ANSWER
    stamp = answer.headers.get("response-stamp")
    record.write(f"request-1 got {answer} stamp={stamp}; the server's whole body: {whole}")
    if not trouble and not whole:
        return False
    return not (answer.status == 200 and answer.complete and not whole)


s.play(__file__, script)

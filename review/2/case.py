"""Entries are stopped and started in turn; in a drill, the store comes back from a copy that is some seconds old.

The copy is from before the duties changed hands.
"""

import os
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

RESTART_SECONDS = 3.5
AWAY_SECONDS = 1.0


def script(trouble, record, folder, closers):
    platform = s.Platform(record)
    platform.era = 1
    closers.append(platform.close)

    def serve(server, connection, head, headers, rest):
        _, rest = server.read_body(connection, headers, rest)
        connection.sendall(server.answer_bytes(headers, "200 OK", b"done"))
        return rest

    server = s.Server(platform, record, "app-1", "app", "zone-a", serve)
    platform.put("config", "main", s.configuration(7, [s.route("r", "/order/", "app")], [s.service("app")]))
    server.register()
    entries = [s.Entry(f"entry-{n}", "zone-a", platform, folder, record, ["zone-a"]) for n in (1, 2, 3)]
    closers.extend(entry.end for entry in entries)
    for entry in entries:
        s.await_that(f"{entry.name} being ready", entry.is_ready)
    copies = []
    over = threading.Event()

    def keep_copies():
        while not over.wait(0.5):
            copies.append((time.monotonic(), platform.snapshot()))

    threading.Thread(target=keep_copies, daemon=True).start()

    def calls_of(name):
        return [call for call in platform.duty_calls if call["holder"] == name]

    def duty_record():
        stored = platform.get("entry-duties", "main")
        return stored["spec"] if stored else None

    def stop(entry):
        """A planned stop; returns a thread that starts the entry again after its end."""
        entry.signal(signal.SIGTERM)

        def start_again():
            entry.process.wait(12)
            record.write(f"{entry.name} has ended")
            time.sleep(RESTART_SECONDS)
            entry.start()

        restart = threading.Thread(target=start_again, daemon=True)
        restart.start()
        return restart

    def entry_of(call):
        return next(entry for entry in entries if entry.name == call["holder"])

    def holder_in(copy):
        stored = copy[0].get(("entry-duties", "main"))
        return stored["spec"]["holder"] if stored else None

    s.await_that("a first holder of the duties", lambda: platform.duty_calls, 20)
    first = entry_of(platform.duty_calls[0])
    time.sleep(5)
    restart = stop(first)
    s.await_that("another holder", lambda: any(c["holder"] != first.name for c in platform.duty_calls), 30)
    second = entry_of(next(c for c in platform.duty_calls if c["holder"] != first.name))
    restart.join(20)
    s.await_that(f"{first.name} being ready again", first.is_ready, 10)
    record.write(f"{first.name} is ready again; duty record: {duty_record()}")
    restart = stop(second)
    time.sleep(0.5)
    if trouble:
        made_at, copy = next(c for c in reversed(copies) if holder_in(c[1]) == first.name)
        platform.set_down(True)
        record.write("the store is away")
        time.sleep(AWAY_SECONDS)
        platform.restore(copy)
        platform.era += 1
        platform.set_down(False)
        record.write(f"the store is back from a copy {time.monotonic() - made_at:.1f} s old; duty record: {duty_record()}")
    restart.join(25)
    time.sleep(20)
    record.write(f"duty record {duty_record()}")
    over.set()
    holders = {}
    counts = {}
    for call in platform.duty_calls:
        holders.setdefault((call["path"], call["fence"]), set()).add(call["holder"])
        if call["path"] == "/usage":
            counts.setdefault(call["body"]["windowId"], set()).add(str(sorted(call["body"]["counts"].items())))
    shared = {key: sorted(names) for key, names in holders.items() if len(names) > 1}
    unlike = {window: sorted(told) for window, told in counts.items() if len(told) > 1}
    record.write(f"generation numbers that two holders sent: {shared}")
    record.write(f"windows told with different counts: {unlike}")
    return not shared and not unlike


s.play(__file__, script)

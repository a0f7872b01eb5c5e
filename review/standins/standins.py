"""Stand-ins for the users' platform, its model replicas and its clients, and control of the daemons.

They follow the users' pages: the store, the replicas and the clients do what these pages allow, and no more.
Everything but the daemons runs in one process; Python's standard library is all that it needs.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target/release/hibiscusvaled"

# Of the small deployment `nadifa-ops`; its replicas have more memory, for 12 requests instead of two.
GRACE_S = 8.0
CLIENT_TIME_LIMIT_MS = 14000
SLOTS = 12
SERVICE = "notes-llm"
MEMORY_TOKENS = 12_000
# Tokens in an event of a stream, and the time between two events.
STRIDE = 50
EVENT_S = 0.05

# How a connection of a stand-in ends: the peer closes it, or the case is over.
ENDS = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)


class Record:
    """Writes what was sent, answered and run to a file, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, event, **fields):
        line = {"at_s": round(self.now(), 3), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


async def read_head(reader):
    """Reads the start line and the headers of a message; header names become lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length."""
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(start_line, headers=(), body=b""):
    lines = [start_line, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode() + f"\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Store:
    """The platform's store: a log of topics with one partition each."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def put(self, topic, key, value):
        await self.append(topic, [bytes([len(key)]) + key.encode() + json.dumps(value).encode()])

    async def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def serve(self, reader, writer):
        with contextlib.suppress(*ENDS):
            while True:
                line, headers = await read_head(reader)
                status, body = await self.answer(line, await read_body(reader, headers))
                writer.write(message(f"HTTP/1.1 {status} Answer", body=body))
                await writer.drain()
        writer.close()

    async def answer(self, line, body):
        path, _, query = line.split(" ")[1].partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        topic = query["topic"]
        if path == "/v1/log-append":
            records = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            offset = await self.append(topic, records)
            return 200, json.dumps({"offset": offset, "endOffset": offset + len(records)}).encode()
        if topic not in self.topics:
            return 404, b"{}"
        log = self.topics[topic]
        if path == "/v1/log-read":
            return 200, await self.read(log, int(query["from"]), int(query.get("waitMs", 0)) / 1000)
        newest = {}
        for offset, record in enumerate(log):
            key_end = 1 + record[0]
            newest[record[1:key_end].decode()] = (record[key_end:], offset)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in newest.items()
            if value
        ]
        return 200, json.dumps({"items": items, "hasMore": False, "endOffset": len(log)}).encode()

    async def read(self, log, first, wait_s):
        end = time.monotonic() + wait_s
        while len(log) <= first and time.monotonic() < end:
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
        records = b"".join(struct.pack(">I", len(record)) + record for record in log[first:])
        return struct.pack(">QQ", len(log), 0) + records


class Run:
    """One request that a replica works on."""

    def __init__(self, request_id, prompt, events, priority, started_s):
        self.id, self.events, self.priority, self.started_s = request_id, events, priority, started_s
        self.tokens = prompt
        self.is_preempted = False
        # When its last event was made, and the longest time for which it was preempted.
        self.last_event_s, self.longest_pause_s = started_s, 0.0


class Engine:
    """A model replica. Its memory is shared by the running requests and the reservations.

    When memory runs out, the newest of the least urgent requests is preempted and read in again once there is
    room for it, as the page on the protocol says.
    """

    READ_TOKENS_PER_S = 55_555
    numbers = itertools.count(1)
    by_address = {}

    def __init__(self, store, record, phase, drops=True):
        self.id = "i-%08x" % (0x5A000000 + next(Engine.numbers))
        self.store, self.record, self.phase = store, record, phase
        # Whether it drops a request when its connection closes, as most replicas do.
        self.drops = drops
        # Its software and the Unix millisecond of its start, which its entry states.
        self.version, self.born = "v1", int(time.time() * 1000)
        self.connections = set()
        self.longest_pause_s = 0.0
        self.runs, self.holds, self.handles = [], {}, {}
        self.ended = []
        self.orders, self.is_busy, self.renewals = 0, False, 0
        self.names = itertools.count(1)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        Engine.by_address[self.address] = self
        await self.renew()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.renew()

    async def renew(self):
        self.renewals += 1
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "born": self.born,
            "slots": SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
            "phase": self.phase,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.renewals,
        }
        await self.store.put("keyed.servers", self.id, entry)

    def restart(self, version):
        """Ends and is up again under its id at once, with this software; it knows nothing of before.

        It registers with its next heartbeat.
        """
        self.record("restart", replica=self.id, version=version, streams=len(self.runs))
        for writer in list(self.connections):
            writer.transport.abort()
        self.runs, self.holds, self.handles, self.orders, self.renewals = [], {}, {}, 0, 0
        self.version, self.born = version, int(time.time() * 1000)

    def used(self):
        running = sum(run.tokens for run in self.runs if not run.is_preempted)
        return running + sum(self.holds.values())

    async def serve(self, reader, writer):
        self.connections.add(writer)
        with contextlib.suppress(*ENDS):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.handle(line, headers, body, reader, writer):
                    break
                await writer.drain()
        self.connections.discard(writer)
        writer.close()

    def reply(self, writer, status, value=None, headers=()):
        body = b"" if value is None else json.dumps(value).encode()
        writer.write(message(f"HTTP/1.1 {status} Answer", headers, body))
        return True

    async def handle(self, line, headers, body, reader, writer):
        method, path, _ = line.split(" ")
        echo = [("Hibiscusvale-Attempt-Id", headers.get("hibiscusvale-attempt-id", ""))]
        if headers.get("hibiscusvale-expect-instance", self.id) != self.id:
            return self.reply(writer, 421, headers=echo)
        if path == "/v1/report":
            return self.reply(writer, 200, self.report())
        if path == "/v1/hold-take":
            return self.take_hold(writer, json.loads(body)["tokens"], json.loads(body)["ttlMs"])
        if path.startswith("/v1/hold-drop/"):
            self.holds.pop(path.rsplit("/", 1)[1], None)
            return self.reply(writer, 200)
        if path == "/v1/order":
            return await self.take_order(writer, json.loads(body))
        if "hibiscusvale-attempt-id" not in headers:
            return self.reply(writer, 400, headers=[("Hibiscusvale-Not-Executed", 1)])
        prompt = int(headers["hibiscusvale-token-counts"].split(",")[0])
        if headers.get("hibiscusvale-stage") == "prefill":
            if self.phase != "prefill":
                return self.reply(writer, 421, headers=echo)
            await asyncio.sleep(prompt / self.READ_TOKENS_PER_S)
            handle = f"{self.id}-{next(self.names)}"
            self.handles[handle] = prompt
            return self.reply(writer, 200, {"kvHandle": handle, "tokens": prompt, "version": 1}, echo)
        if self.phase != "decode":
            return self.reply(writer, 421, headers=echo)
        return await self.run(headers, prompt, echo, reader, writer)

    def report(self):
        return {
            "born": self.born,
            "phase": self.phase,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.is_busy,
            "seq": self.orders,
            "waiting": 0,
            "running": len(self.runs),
            "kvUsed": self.used(),
            "kvTotal": MEMORY_TOKENS,
            "kvHandles": len(self.handles),
        }

    def take_hold(self, writer, tokens, ttl_ms):
        if self.used() + tokens > MEMORY_TOKENS or len(self.runs) + len(self.holds) >= SLOTS:
            return self.reply(writer, 503, headers=[("Hibiscusvale-Not-Executed", 1)])
        name = f"h{next(self.names)}"
        self.holds[name] = tokens
        asyncio.get_running_loop().call_later(ttl_ms / 1000, self.holds.pop, name, None)
        return self.reply(writer, 200, {"hold": name})

    async def take_order(self, writer, order):
        if self.is_busy or order.get("precondition", self.orders) != self.orders:
            return self.reply(writer, 409)
        self.orders += 1
        self.is_busy = True
        self.record("order", replica=self.id, phase=order["phase"], holder=order["holder"])

        async def change():
            while self.runs:
                await asyncio.sleep(0.05)
            await asyncio.sleep(6.0)
            self.phase, self.is_busy = order["phase"], False
            await self.renew()

        asyncio.create_task(change())
        return self.reply(writer, 202)

    async def run(self, headers, prompt, echo, reader, writer):
        request_id = headers["hibiscusvale-attempt-id"]
        is_held = self.holds.pop(headers.get("hibiscusvale-kv-hold"), None) is not None
        source = headers.get("hibiscusvale-kv-source")
        if source:
            address, handle = source.split("/", 1)
            if Engine.by_address[address].handles.pop(handle, None) is None:
                return self.reply(writer, 503, headers=[*echo, ("Hibiscusvale-Not-Executed", 1)])
        has_room = self.used() + prompt <= MEMORY_TOKENS and len(self.runs) < SLOTS
        if self.is_busy or not (is_held or has_room):
            return self.reply(writer, 503, headers=[*echo, ("Hibiscusvale-Not-Executed", 1)])
        last = int(headers.get("last-event-id", 0))
        priority = int(headers.get("hibiscusvale-request-priority", 5))
        # The client's header `X-Events` stands for the text of the prompt: it decides how long the answer is.
        events = range(last + 1, int(headers["x-events"]) + 1)
        run = Run(request_id, prompt + last * STRIDE, events, priority, time.monotonic())
        self.runs.append(run)
        if not source:
            await asyncio.sleep(2 * prompt / self.READ_TOKENS_PER_S)
        self.record("run", id=request_id, replica=self.id, after=last)
        work = asyncio.create_task(self.work(run, echo, writer))
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            self.record("closed", id=request_id, replica=self.id, drops=self.drops)
            if self.drops:
                work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work
        closed.cancel()
        if run in self.runs:
            self.runs.remove(run)
        self.ended.append(run)
        self.record("run ends", id=request_id, replica=self.id, complete=not work.cancelled())
        return False

    async def work(self, run, echo, writer):
        version = self.version
        head = [
            "HTTP/1.1 200 OK",
            *(f"{name}: {value}" for name, value in echo),
            f"Hibiscusvale-Response-Seal: seal.{run.id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "Connection: close",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in run.events:
            await asyncio.sleep(EVENT_S)
            run.tokens += STRIDE
            await self.make_room(run, writer)
            event = f"id: {number}\ndata: {version} {number}\n\n".encode()
            if not writer.is_closing():
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            run.last_event_s = time.monotonic()
            self.record("event", id=run.id, replica=self.id, number=number)
        if not writer.is_closing():
            writer.write(b"0\r\n\r\n")

    async def make_room(self, run, writer):
        """Preempts the newest of the least urgent requests while memory is short; a preempted one waits here."""
        while self.used() > MEMORY_TOKENS:
            running = [each for each in self.runs if not each.is_preempted]
            if len(running) < 2:
                # Reservations take the rest; the last running request goes on.
                break
            newest = max(running, key=lambda each: (each.priority, each.started_s))
            newest.is_preempted = True
            self.record("preempted", id=newest.id, replica=self.id, used=self.used())
        preempted_s = time.monotonic()
        while run.is_preempted:
            await asyncio.sleep(0.01)
            pause_s = time.monotonic() - preempted_s
            run.longest_pause_s = max(run.longest_pause_s, pause_s)
            if not writer.is_closing():
                self.longest_pause_s = max(self.longest_pause_s, pause_s)
            if self.used() + run.tokens <= MEMORY_TOKENS:
                run.is_preempted = False
                await asyncio.sleep(2 * run.tokens / self.READ_TOKENS_PER_S)
                self.record("read again", id=run.id, replica=self.id)


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, name, store, folder):
        self.name, self.folder = name, Path(folder)
        sockets = [socket.socket() for _ in range(4)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        self.callers, self.readiness, self.peers, self.metrics = ports
        self.store = store
        self.process = None
        self.write_settings()

    def write_settings(self):
        """The template of the deploy file with the figures of a small deployment."""
        (self.folder / f"{self.name}.toml").write_text(
            f"""[host]
id = "{self.name}"
data_centre = "zone-a"
region = "region-a"

[listen]
callers = "127.0.0.1:{self.callers}"
readiness = "127.0.0.1:{self.readiness}"
peers = "127.0.0.1:{self.peers}"
metrics = "127.0.0.1:{self.metrics}"

[store]
address = "{self.store.address}"

[peers]
seeds = []
first_start = true

[bounds]
grace_s = {GRACE_S}
retry_ratio = 0.2
retry_slack = 52
retry_window_s = 10

[scheduling]
engine_speeds = "stated"
overload_limit = "stated"

[capacity]
descriptors = 4100
link_mbps = 1000.0
memory_mb = 110
""",
            encoding="utf-8",
        )

    def start(self):
        log = open(self.folder / f"{self.name}.log", "ab")
        command = [str(DAEMON), "relay", str(self.folder / f"{self.name}.toml")]
        self.process = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT)

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            await asyncio.sleep(0.05)
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class Client:
    """Sends one request over a new connection, as the platform forwards it to a daemon, and reads the stream."""

    numbers = itertools.count(1)

    def __init__(self, record, daemon):
        self.record, self.daemon = record, daemon
        self.id = "%016x" % (0x9C41D07B00000000 + next(Client.numbers))
        # Numbers of the events, and the software versions that wrote them.
        self.events, self.versions = [], set()
        self.status, self.is_complete, self.sent_s, self.ended_s = None, False, None, None

    async def stream(self, path, prompt, answer, hint, events):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.daemon.callers)
        headers = [
            ("Host", "notes.example"),
            ("Hibiscusvale-Attempt-Id", self.id),
            ("Hibiscusvale-Model", "m"),
            ("Hibiscusvale-Token-Counts", f"{prompt},{answer}"),
            ("Hibiscusvale-Length-Hint", hint),
            ("Hibiscusvale-Prompt-Prefix", f"5c1e07a2:200,{self.id}:{prompt - 200}"),
            ("Hibiscusvale-Deadline-Ms", CLIENT_TIME_LIMIT_MS),
            ("X-Events", events),
        ]
        self.sent_s = self.record.now()
        self.record("sent", id=self.id, daemon=self.daemon.name, events=events)
        writer.write(message(f"POST {path} HTTP/1.1", headers, b"{}"))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            line, answer_headers = await read_head(reader)
            self.status = int(line.split(" ")[1])
            if answer_headers.get("transfer-encoding") == "chunked":
                await self.read_chunks(reader)
            else:
                await read_body(reader, answer_headers)
                self.is_complete = True
        writer.close()
        self.ended_s = self.record.now()
        self.record("answered", id=self.id, status=self.status, complete=self.is_complete, events=self.events[-1:])

    async def read_chunks(self, reader):
        text = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                self.is_complete = True
                return
            text += chunk[:-2]
            *whole, text = text.split(b"\n\n")
            for event in whole:
                number, data = event.decode().split("\n")
                self.events.append(int(number.split()[1]))
                self.versions.add(data.split()[1])


def configuration(version, attempts):
    """One resumable streaming route to one service of model replicas, with the figures of `nadifa-ops`."""
    route = {
        "name": "notes",
        "host": "notes.example",
        "pathPrefix": "/notes/",
        "kind": "streaming",
        "timeoutMs": 14000,
        "goalMs": 900,
        "priority": 1,
        "service": SERVICE,
        "attempts": attempts,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 300,
    }
    engine = {
        "slots": SLOTS,
        "kvTokens": MEMORY_TOKENS,
        "kvTokenBytes": 163840,
        "linkMbps": 5400000.0,
        "moves": True,
        "backups": True,
        "stride": STRIDE,
        "most": 12,
        "kvHoldS": 0.5,
        "swapS": 6.0,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "models": [{"name": "m"}],
    }
    service = {"name": SERVICE, "healthPath": "/health", "maxConns": 150, "protocol": "h1", "tls": False}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": [route], "services": [{**service, "engine": engine}], "limits": limits}


@contextlib.contextmanager
def temporary_folder():
    with tempfile.TemporaryDirectory(prefix="hibiscusvale-review-") as folder:
        yield Path(folder)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main):
    """Runs a case and exits with its result; with 2 if it failed itself."""
    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)

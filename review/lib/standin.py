"""Stand-ins for the surroundings of one sender: clients, endpoints, discovery and the platform.

They speak what kit/real/PROTOCOL.md says and use the standard library only. All addresses are on loopback.
A case imports this module, plays its story on the real clock and judges what the stand-ins have seen.
"""

import asyncio
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
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def free_port():
    """A free port below those that the system gives to outgoing connections: one of these could take the port
    of a process that is down for a moment."""
    first = 32768
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
            first = int(file.read().split()[0])
    except (OSError, ValueError):
        pass
    low, high = (10000, first) if first > 12000 else (61000, 65535)
    for _ in range(1000):
        port = random.randrange(low, high)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


class Record:
    """record.txt: one line an event, with seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def run_command():
    """The command `run` of the deploy file."""
    text = open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8").read()
    found = re.search(r'^run\s*=\s*"(.*)"', text, re.M)
    if not found:
        raise CannotRun("deploy/balancer.toml has no run")
    return found.group(1)


class SenderProcess:
    """One sender, started by the deploy file's command, with a state folder that outlasts its processes."""

    def __init__(self, record, name, settings, discovery_port, known, limits=None):
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix="sailcart-review-")
        self.state = os.path.join(self.folder, "state")
        os.mkdir(self.state)
        self.listen = f"{HOST}:{free_port()}"
        self.port = int(self.listen.rsplit(":", 1)[1])
        self.process, self.lives = None, 0
        self.config = {
            "name": name,
            "listen": self.listen,
            "discovery": f"{HOST}:{discovery_port}",
            "state": self.state,
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known,
            "settings": settings,
        }

    def start(self):
        self.lives += 1
        config = dict(self.config, seed=f"{0x8c1f30d27a5be900 + self.lives:016x}")
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        environment.update(
            ROUTER_NAME=self.name,
            ROUTER_LISTEN=self.listen,
            ROUTER_DISCOVERY=config["discovery"],
            ROUTER_STATE=self.state,
            ROUTER_CONFIG=path,
        )
        log = open(os.path.join(self.folder, f"log-{self.lives}"), "wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        log.close()
        self.record(f"sender: started, life {self.lives}")

    def log(self, life):
        path = os.path.join(self.folder, f"log-{life}")
        return open(path, encoding="utf-8", errors="replace").read() if os.path.exists(path) else ""

    async def ready(self, within=10.0):
        """Waits until PING is answered."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"the sender ended with {self.process.returncode}: {self.log(self.lives)[-400:]}")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    self.record(f"sender: ready, life {self.lives}")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.01)
        raise CannotRun("the sender was not ready in time")

    def signal(self, number):
        self.record(f"sender: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.005)

    def close(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def entry(name, port, cell, kind, lifecycle="Ready", weight=1.0):
    return {
        "instanceId": name, "hostPort": f"{HOST}:{port}", "zone": "lisboa-1", "machineType": kind,
        "cell": cell, "lifecycle": lifecycle, "weight": weight, "startedAtMs": 0,
    }


async def read_request(reader):
    """The first line, the headers and the body of one request; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers[key.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def response(status, reason, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {reason}", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Platform:
    """Discovery and the receiver of notices, as the agent on the sender's machine."""

    def __init__(self, record, entries):
        self.record, self.entries, self.generation = record, entries, 41
        self.changes = {}  # generation: entries that changed with it
        self.changed = asyncio.Event()
        self.notices = []  # (seconds, id, outcome)
        self.server, self.port = None, free_port()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def known(self):
        return {"generation": self.generation, "reset": True, "instances": self.entries}

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, _, body = await read_request(reader)
                method, path, _ = first.split(" ")
                if method == "POST" and path == "/status":
                    writer.write(self.take_notices(body))
                elif method == "GET" and path.startswith("/v1/servers"):
                    writer.write(await self.list(path))
                else:
                    writer.write(response(404, "Not Found"))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def take_notices(self, body):
        try:
            lines = [json.loads(line) for line in body.decode().splitlines() if line]
            read = [(line["message"], line["outcome"]) for line in lines]
        except (ValueError, KeyError, TypeError):
            return response(400, "Bad Request")
        for message, outcome in read:
            self.notices.append((self.record.now(), message, outcome))
            self.record(f"platform: notice {message} {outcome}")
        return b"HTTP/1.1 204 No Content\r\n\r\n"

    async def list(self, path):
        query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if "=" in pair)
        if "from" not in query:
            body = self.known()
        else:
            since, hold = int(query["from"]), min(int(query.get("hold_ms", "0")), 60000) / 1000
            if since >= self.generation:
                try:
                    await asyncio.wait_for(self.changed.wait(), hold)
                except asyncio.TimeoutError:
                    pass
            newer = [e for generation, es in sorted(self.changes.items()) if generation > since for e in es]
            body = {"generation": self.generation, "reset": False, "instances": newer}
        return response(200, "OK", json.dumps(body).encode(), ["Content-Type: application/json"])


class Endpoint:
    """An endpoint. `handle(call)` returns the bytes of the answer, or None for none."""

    def __init__(self, record, name, handle):
        self.record, self.name, self.handle = record, name, handle
        self.port, self.server = free_port(), None
        self.writers = set()
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 20)
        self.record(f"endpoint {self.name}: takes connections at {HOST}:{self.port}")

    async def go_down(self):
        """Refuses connections and resets the open ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record(f"endpoint {self.name}: down, refuses connections")

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        self.writers.add(writer)
        try:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                first, headers, body = await read_request(reader)
                call = Call(self, number, first, headers, body, reader, writer)
                answer = await self.handle(call)
                if answer is not None:
                    await call.write(answer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Call:
    def __init__(self, endpoint, connection, first, headers, body, reader, writer):
        self.endpoint, self.connection = endpoint, connection
        self.path = first.split(" ")[1]
        self.headers, self.body, self.reader, self.writer = headers, body, reader, writer
        self.id = headers.get("x-call-id")
        self.key = headers.get("idempotency-key")
        self.at = endpoint.record.now()

    async def write(self, answer):
        self.writer.write(answer)
        await self.writer.drain()

    def nothing_waits(self):
        """Whether nothing has come on the connection behind this call."""
        return not self.reader._buffer and not self.reader.at_eof()


class Link:
    """The network before an endpoint: a proxy that delays what is sent in either direction by `latency`, in order.
    What an endpoint sends straight behind something else travels `longer`."""

    STRAIGHT = 0.002

    def __init__(self, record, endpoint, latency, longer=0.0):
        self.record, self.endpoint, self.latency, self.longer = record, endpoint, latency, longer
        self.port = free_port()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.record(f"link: {HOST}:{self.port} leads to endpoint {self.endpoint.name}, {self.latency * 1000} ms")

    async def serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection(HOST, self.endpoint.port)
        for stream in (writer, far_writer):
            stream.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(self.pump(reader, far_writer, 0.0), self.pump(far_reader, writer, self.longer))

    async def pump(self, reader, writer, longer):
        queue, loop = asyncio.Queue(), asyncio.get_running_loop()

        async def deliver():
            while True:
                at, data = await queue.get()
                await asyncio.sleep(max(0.0, at - loop.time()))
                if not data:
                    writer.close()
                    return
                writer.write(data)

        delivery, last = asyncio.create_task(deliver()), -1.0
        try:
            while True:
                data = await reader.read(65536)
                now = loop.time()
                queue.put_nowait((now + self.latency + (longer if now - last < self.STRAIGHT else 0.0), data))
                last = now
                if not data:
                    break
        except OSError:
            queue.put_nowait((loop.time() + self.latency, b""))
        await delivery


class Client:
    """A client with one connection: one request at a time, 400 ms for each answer."""

    def __init__(self, record, sender):
        self.record, self.sender = record, sender
        self.reader = self.writer = None

    async def put(self, id, category, destination, patience_ms, key=None, order_key="0" * 16, body=b"x" * 200,
                  tenant=None):
        """Hands in one message. Returns the answer's line, or None if there was none in time."""
        fields = f"c={category},d={patience_ms},dest={destination}"
        fields += f",k={key}" if key else ""
        fields += f",t={tenant}" if tenant else ""
        parts = [b"MSG.PUT", order_key.encode(), id.encode(), fields.encode(), body]
        command = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(HOST, self.sender.port)
            self.writer.write(command)
            line = await asyncio.wait_for(self.reader.readline(), 0.4)
        except (OSError, asyncio.TimeoutError):
            line = b""
        answer = line.decode().strip() or None
        if answer is None:
            self.close()
        self.record(f"client: {id} for {destination} ({category}, d={patience_ms}) answered {answer}")
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def main(folder, story):
    """Plays `story(record)` and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
    The story returns the violations as texts."""
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        violations = asyncio.run(asyncio.wait_for(story(record), 115))
    except Exception as error:  # a fault of the case itself must not look like a broken rule
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for violation in violations:
        record(f"BROKEN: {violation}")
        print(f"broken: {violation}")
    record("the rule was broken" if violations else "the rule held")
    print("the rule was broken" if violations else "the rule held")
    sys.exit(1 if violations else 0)

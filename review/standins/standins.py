"""Stand-ins for the platform's store, the backends and the clients, and a starter for hosts.

They follow the users' pages (PROTOCOL.md, DEPLOY.md) and use only the standard library.
Everything runs in one event loop, on loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "cardamomwinch-forwarder")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.jsonc")

SYN, RST, FIN, ACK = 128, 64, 16, 8
HEAD = struct.Struct("<HIBBHHIIIII")
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


def free_port(kind=socket.SOCK_STREAM):
    """A port that is free now on 127.0.0.1."""
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


def number_of(address):
    """An IPv4 address as a number."""
    return struct.unpack(">I", socket.inet_aton(address))[0]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write("%9.3f  %s\n" % (self.now(), text))
        self.file.flush()


class Store:
    """The platform's metadata store: items, pages, watches and a history of limited age."""

    def __init__(self, record, history_s=20.0, answer_s=0.004):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.oldest = self.revision
        self.history_s = history_s
        self.answer_s = answer_s
        self.changed = asyncio.Event()
        self.largest_answer = 0
        self.gone_answers = 0

    async def listen(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def put(self, key, value):
        """Writes an item; returning is the acknowledgement."""
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        text = base64.b64encode(value).decode()
        item = json.dumps(
            {"key": key, "value": text, "rev": self.revision, "created": created, "lease": 0}
        )
        self.items[key] = (item, created)
        self.tell(item)

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self.tell(json.dumps({"key": key, "rev": self.revision, "deleted": True}))

    def tell(self, event):
        self.history.append((self.revision, time.monotonic(), event))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def forget(self):
        """Drops the history that is older than history-s."""
        limit = time.monotonic() - self.history_s
        while self.history and self.history[0][1] < limit:
            self.oldest = self.history.pop(0)[0]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(path)
                await asyncio.sleep(self.answer_s)
                self.largest_answer = max(self.largest_answer, len(body))
                writer.write(
                    b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, b"OK" if status == 200 else b"Gone", len(body))
                )
                writer.write(body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, path):
        name, _, text = path.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
        if name == "/-/kv-range":
            return self.page(query)
        if name == "/-/kv-watch":
            return await self.watch(query)
        return 404, b"{}"

    def page(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        chosen, size = [], 0
        for key in keys:
            item = self.items[key][0]
            if chosen and (len(chosen) >= PAGE_ITEMS or size + len(item) > PAGE_BYTES):
                break
            chosen.append(item)
            size += len(item)
        more = "true" if len(chosen) < len(keys) else "false"
        body = '{"items":[%s],"has-more":%s,"as-of":%d}' % (",".join(chosen), more, self.revision)
        return 200, body.encode()

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(int(query["wait-ms"]), 30_000) / 1000
        while True:
            self.forget()
            if after < self.oldest or after > self.revision:
                self.gone_answers += 1
                return 410, b"{}"
            events = [
                event
                for revision, _, event in self.history
                if revision > after and ('"key": "' + prefix) in event
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                body = '{"events":[%s],"as-of":%d}' % (",".join(events), self.revision)
                return 200, body.encode()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Link:
    """A proxy between one host and the store. While it is cut, it passes nothing on, in
    either direction, and answers nothing to new connections."""

    def __init__(self, target):
        self.target = target
        self.cut = False
        self.healed = asyncio.Event()
        self.healed.set()
        self.last_sent = 0.0

    async def listen(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            self.healed.clear()
        else:
            self.healed.set()

    async def serve(self, reader, writer):
        try:
            await self.healed.wait()
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.close()
            return
        pumps = self.pump(reader, other_writer, True), self.pump(other_reader, writer, False)
        try:
            await asyncio.gather(*pumps)
        except asyncio.CancelledError:
            pass

    async def pump(self, reader, writer, is_call):
        try:
            while True:
                data = await reader.read(65536)
                await self.healed.wait()
                if not data:
                    break
                if is_call:
                    self.last_sent = time.monotonic()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def pack(flags, src, sport, dst, dport, seq, ack, echo, data=b""):
    head = HEAD.pack(
        len(data), 0x5EED if flags != RST else 0, flags, 0, dport, sport,
        number_of(src), number_of(dst), seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo,
    )
    return head + data


class Packet:
    def __init__(self, data):
        (self.len, self.sum, self.flags, _, self.dport, self.sport, src, dst, self.seq,
         self.ack, self.echo) = HEAD.unpack_from(data)
        self.src = socket.inet_ntoa(struct.pack(">I", src))
        self.dst = socket.inet_ntoa(struct.pack(">I", dst))
        self.data = data[HEAD.size:HEAD.size + self.len]


class Backend(asyncio.DatagramProtocol):
    """A backend: accepts flows, answers each request at once, and closes a flow after its
    next response while it drains."""

    def __init__(self, record, name, service, zone, address, caller_port):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.address, self.caller_port = address, caller_port
        self.id = int(name.rsplit("-", 1)[1], 16)
        self.state, self.sequence = "ready", 0
        self.flows = {}
        self.runs = []
        self.openings = []
        self.foreign = 0
        self.strangers = 0

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    def register(self, store):
        self.sequence += 1
        entry = {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "concurrency": 2, "state": self.state, "cold-left-ms": 0,
            "sequence": self.sequence,
        }
        store.put("servers/" + self.name, json.dumps(entry).encode())

    def send(self, packet, flags, seq, ack, echo, data=b""):
        out = pack(flags, packet.dst, packet.dport, packet.src, packet.sport, seq, ack, echo, data)
        self.transport.sendto(out, (packet.src, self.caller_port))

    def datagram_received(self, data, sender):
        target = struct.unpack(">Q", data[:8])[0]
        if target not in (0, self.id):
            self.foreign += 1
            return
        packet = Packet(data[8:])
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            flow = self.flows.get(key)
            if flow is None:
                flow = self.flows[key] = {"isn": random.getrandbits(32), "open": False, "got": 0}
                self.openings.append((self.record.now(), key, sender[0]))
            self.send(packet, SYN | ACK, flow["isn"], packet.seq + 1, packet.echo)
            return
        flow = self.flows.get(key)
        if flow is None:
            if not packet.flags & RST:
                self.strangers += 1
                self.record.note("%s holds no flow %s:%d, resets it" % (self.name, key[0], key[1]))
                self.send(packet, RST, packet.ack, 0, packet.echo)
            return
        flow["open"] = True
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packet.seq not in flow.setdefault("seen", set()):
            flow["seen"].add(packet.seq)
            text = packet.data.decode()
            request = re.search(r"X-Request-Id: (\S+)", text).group(1)
            self.runs.append((self.record.now(), request, key))
            self.record.note("%s (%s) runs request %s" % (self.name, self.service, request))
            body = "HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nContent-Length: 2\r\n\r\nok" % self.name
            seq = flow["isn"] + 1 + flow["got"]
            flow["got"] += len(body)
            flow["last"] = (seq, body.encode())
        if packet.data:
            seq, body = flow["last"]
            self.send(packet, ACK, seq, packet.seq + len(packet.data), packet.echo, body)
        if packet.flags & FIN:
            self.send(packet, ACK | FIN, flow["isn"] + 1 + flow["got"], packet.seq + 1, packet.echo)


class Client(asyncio.DatagramProtocol):
    """A client address. Each attempt opens a flow from a new port number."""

    def __init__(self, record, ip, caller_port):
        self.record, self.ip, self.caller_port = record, ip, caller_port
        self.port = 1024
        self.waiting = {}
        self.number = 0

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.caller_port)
        )

    def datagram_received(self, data, _sender):
        packet = Packet(data)
        queue = self.waiting.get(packet.dport)
        if queue is not None:
            queue.put_nowait(packet)

    async def open(self, host, route, sport, isn):
        """Sends an opening and its copies to `host`; returns the answer, or None."""
        queue = self.waiting[sport] = asyncio.Queue()
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            out = pack(SYN, self.ip, sport, route[0], route[1], isn, copy, 0)
            self.transport.sendto(out, host)
            try:
                return await asyncio.wait_for(queue.get(), wait)
            except asyncio.TimeoutError:
                pass
        return None

    async def attempt(self, host, route, label):
        """One request on a flow of its own; returns (request, outcome, stamp, sent at)."""
        self.port += 1
        self.number += 1
        sport, isn = self.port, random.getrandbits(32)
        request = "%s-%d" % (self.ip.rsplit(".", 1)[1], self.number)
        sent = self.record.now()
        self.record.note("client sends request %s for %s to host %s" % (request, label, host[0]))
        answer = await self.open(host, route, sport, isn)
        outcome, stamp = "no answer to the opening", None
        if answer is not None and answer.flags & RST:
            outcome = "reset"
        elif answer is not None:
            outcome, stamp = await self.request(host, route, sport, isn, answer, request)
        del self.waiting[sport]
        self.record.note("request %s: %s%s" % (request, outcome, " by " + stamp if stamp else ""))
        return request, outcome, stamp, sent

    async def request(self, host, route, sport, isn, opened, request):
        queue = self.waiting[sport]
        text = "GET / HTTP/1.1\r\nHost: r\r\nX-Request-Id: %s\r\n\r\n" % request
        seq, ack = isn + 1, opened.seq + 1
        for wait in (0.2, 0.4, 0.8):
            out = pack(ACK, self.ip, sport, *route, seq, ack, opened.echo, text.encode())
            self.transport.sendto(out, host)
            until = time.monotonic() + wait
            while True:
                try:
                    answer = await asyncio.wait_for(queue.get(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
                if answer.flags & RST:
                    return "reset", None
                if answer.data:
                    stamp = re.search(rb"X-Server-Stamp: (\S+)", answer.data).group(1).decode()
                    done = pack(ACK | FIN, self.ip, sport, *route, seq + len(text),
                                answer.seq + len(answer.data), answer.echo)
                    self.transport.sendto(done, host)
                    return "200", stamp
        return "no answer", None


class Host:
    """A process of the system, started with the command and template of the deploy file."""

    def __init__(self, folder, name, zone, ip, ports, store, zones, seeds, bounds):
        self.name, self.ip, self.folder = name, ip, folder
        self.data = (ip, ports["data"])
        self.ready = (ip, ports["ready"])
        fields = {
            "node-name": name, "zone": zone, "zones|json": json.dumps(zones), "bind-ip": ip,
            "listen.data-addr": "%s:%d" % self.data, "listen.ready-addr": "%s:%d" % self.ready,
            "listen.control": "%s:%d" % (ip, ports["control"]),
            "port-range.0": str(ports["admin"]), "platform.address": "%s:%d" % store,
            "seeds|json": json.dumps(seeds), "bounds.flow-ttl-s": str(bounds["flow-ttl-s"]),
            "bounds.grace-s": str(bounds["grace-s"]),
        }
        with open(TEMPLATE) as file:
            text = file.read()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda found: fields[found.group(1)], text)
        self.path = os.path.join(folder, name + ".jsonc")
        with open(self.path, "w") as file:
            file.write(text)
        self.process = None

    def start(self):
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", self.path], cwd=ROOT, stdout=self.log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
        )

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def kill(self, number=signal.SIGKILL):
        if self.runs():
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=10.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def lines(self, event):
        """The lines of the log with this event."""
        found = []
        with open(os.path.join(self.folder, self.name + ".log")) as file:
            for line in file:
                if '"event":"%s"' % event in line:
                    found.append(json.loads(line))
        return found

    def learned(self, backend):
        """When the host learned that the backend drains, by the clock of time.time()."""
        digits = "%016x" % backend.id
        times = [line["time"] / 1e6 for line in self.lines("server_changed")
                 if line["server"] == digits and line["phase"] != "active"]
        return min(times, default=None)

    def count(self, text):
        """How many lines of the log hold this text."""
        with open(os.path.join(self.folder, self.name + ".log")) as file:
            return sum(text in line for line in file)


class Folder:
    """A temporary folder and the processes that were started from it."""

    def __init__(self):
        self.path = tempfile.mkdtemp(prefix="review-")
        self.hosts = []

    def end(self):
        for host in self.hosts:
            host.kill()
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        shutil.rmtree(self.path, ignore_errors=True)


def run_case(play, place, limit):
    """Runs the coroutine `play(record, folder)` for `limit` seconds at most, ends all processes
    that it started, and exits with its result."""
    record = Record(os.path.join(place, "record.txt"))
    folder = Folder()
    loop = asyncio.new_event_loop()
    signal.signal(signal.SIGTERM, lambda *_: (folder.end(), os._exit(2)))
    code = 2
    try:
        code = loop.run_until_complete(asyncio.wait_for(play(record, folder), limit))
    except (OSError, asyncio.TimeoutError) as error:
        record.note("could not run: %r" % error)
    finally:
        folder.end()
    # Connections of the stand-ins are still open; the end of the process closes them.
    os._exit(code)

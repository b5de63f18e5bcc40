"""Stand-ins for what surrounds the forwarding hosts of cardamomwinch, and the hosts.

One process plays the platform's store, the routers, the clients and the backends, in one
event loop and on the real clock. The hosts are the project's own program, started as
separate processes with the command of `deploy/system.toml` and settings that are filled in
from `deploy/settings.jsonc`. Every address is a loopback address.

A packet's checksum is a keyed CRC, so that a change of any field that it covers shows.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HEAD = struct.Struct("<HIBBHHIIIII")
HEAD_LENGTH = 32
SYN, ACK, FIN, RST, BOUNCED = 128, 8, 16, 64, 2
SUM_KEY = 0x5EED_1234
MAX_DATA = 1200
RESET_WINDOW = 76_800
MASK = 0xFFFF_FFFF
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run, so that it shows nothing."""


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def checksum(flags, dport, sport, src, dst, seq, ack, data):
    fields = struct.pack(
        "<BHHIIIIH", flags & ~BOUNCED, dport, sport, src, dst, seq, ack, len(data)
    )
    return zlib.crc32(data, zlib.crc32(fields, SUM_KEY)) or 1


def encode(flags, src, sport, dst, dport, seq, ack, echo, data=b""):
    total = checksum(flags, dport, sport, src, dst, seq, ack, data)
    return (
        HEAD.pack(len(data), total, flags, 0, dport, sport, src, dst, seq, ack, echo) + data
    )


class Packet:
    """A decoded packet. `whole` is whether the sender's checksum fits."""

    __slots__ = ("flags", "src", "sport", "dst", "dport", "seq", "ack", "echo", "data", "whole", "sum")

    def __init__(self, raw):
        (length, self.sum, self.flags, _pad, self.dport, self.sport, self.src, self.dst,
         self.seq, self.ack, self.echo) = HEAD.unpack_from(raw)
        self.data = bytes(raw[HEAD_LENGTH:HEAD_LENGTH + length])
        expected = checksum(
            self.flags, self.dport, self.sport, self.src, self.dst, self.seq, self.ack, self.data
        )
        self.whole = expected == self.sum

    def key(self):
        return (self.src, self.sport, self.dst, self.dport)


def distance(left, right):
    """How far `left` lies after `right` on the ring of positions."""
    value = (left - right) & MASK
    return value - (1 << 32) if value >= 1 << 31 else value


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.begun = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.begun:9.3f} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's metadata store. Each host reaches it at an address of its own, so that
    the store can turn single hosts away."""

    PAGE_ITEMS = 50
    PAGE_BYTES = 1 << 20
    HISTORY_S = 20
    ANSWER_S = 0.004

    def __init__(self, world):
        self.world = world
        self.items = {}
        self.history = []
        self.revision = 100
        self.compacted = 0
        self.era = None
        self.changed = asyncio.Event()
        self.modes = {}
        self.mode_changed = {}
        self.calls = {}
        self.servers = []

    async def listen(self, name, address):
        self.modes[name] = "ok"
        self.mode_changed[name] = asyncio.Event()
        self.calls[name] = 0
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(name, reader, writer), *address
        )
        self.servers.append(server)

    def set_mode(self, name, mode):
        """`ok`, `busy` (503), `many` (429), `reset` or `silent`. Calls that wait are cut off
        too, as by a store that turns the machine away from now on."""
        self.modes[name] = mode
        self.mode_changed[name].set()
        self.mode_changed[name] = asyncio.Event()

    def write(self, key, value):
        self.revision += 1
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self.note(item)
        return self.revision

    def delete(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.note({"key": key, "rev": self.revision, "deleted": True})

    def note(self, event):
        self.history.append((time.monotonic(), event, json.dumps(event).encode()))
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Forgets the history up to now."""
        self.compacted = self.revision
        self.history.clear()

    def forget_old(self):
        """Forgets what is older than the history that the store keeps."""
        while self.history and time.monotonic() - self.history[0][0] > self.HISTORY_S:
            self.compacted = self.history.pop(0)[1]["rev"]

    async def serve(self, name, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls[name] += 1
                method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ")
                if method != "GET":
                    raise ValueError(method)
                answer = await self.answer(name, target)
                if answer is None:
                    return
                status, body = answer
                era = "" if self.era is None else f"Store-Era: {self.era}\r\n"
                text = (
                    f"HTTP/1.1 {status} X\r\n{era}Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(text.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            writer.close()

    async def answer(self, name, target):
        """The answer to a call; `None` if the connection is reset."""
        path, _, query = target.partition("?")
        pairs = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if path == "/-/kv-watch":
            work = self.watch(int(pairs["after"]), pairs.get("prefix", ""), int(pairs["wait-ms"]))
        elif path == "/-/kv-range":
            work = self.range(pairs.get("prefix", ""), pairs.get("after", ""))
        else:
            return 404, b"{}"
        # A call that is under way when the store begins to turn the host away is not answered.
        if self.modes[name] == "ok":
            work = asyncio.ensure_future(work)
            turned = asyncio.ensure_future(self.mode_changed[name].wait())
            await asyncio.wait([work, turned], return_when=asyncio.FIRST_COMPLETED)
            turned.cancel()
            if work.done():
                await asyncio.sleep(self.ANSWER_S)
                if self.modes[name] == "ok":
                    return work.result()
            work.cancel()
        else:
            work.close()
        mode = self.modes[name]
        if mode == "busy":
            return 503, b"{}"
        if mode == "many":
            return 429, b"{}"
        if mode == "silent":
            await asyncio.sleep(600)
        return None

    async def range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys[: self.PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if page and size > self.PAGE_BYTES:
                break
            page.append(self.items[key])
        answer = {"items": page, "has-more": len(keys) > len(page), "as-of": self.revision}
        return 200, json.dumps(answer).encode()

    async def watch(self, after, prefix, wait_ms):
        until = time.monotonic() + min(wait_ms, 30_000) / 1000
        while True:
            self.forget_old()
            if after < self.compacted or after > self.revision:
                return 410, b"{}"
            events = [
                text for _, event, text in self.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                body = b'{"events":[%s],"as-of":%d}' % (b",".join(events), self.revision)
                return 200, body
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Host:
    """A forwarding host: a process of the project's own program."""

    def __init__(self, world, name, zone, address, store_address):
        self.world = world
        self.name = name
        self.zone = zone
        self.address = address
        self.store_address = store_address
        self.process = None
        self.in_rotation = False
        self.misses = 0
        self.prober = None

    @property
    def data(self):
        return (self.address, self.world.data_port)

    def fields(self):
        world = self.world
        return {
            "node-name": self.name,
            "zone": self.zone,
            "bind-ip": self.address,
            "zones": {zone: world.region for zone in world.zones},
            "listen": {
                "data-addr": f"{self.address}:{world.data_port}",
                "ready-addr": f"{self.address}:{world.ready_port}",
                "control": f"{self.address}:{world.control_port}",
            },
            "port-range": [world.first_port, world.first_port + 15],
            "seeds": world.seeds,
            "platform": {"address": "%s:%d" % self.store_address},
            "bounds": world.bounds,
        }

    def write_settings(self):
        template = open(os.path.join(ROOT, world_deploy()["template"]), encoding="utf-8").read()
        fields = self.fields()

        def look_up(match):
            path, _, form = match.group(1).partition("|")
            value = fields
            for part in path.split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if form == "json" else str(value)

        path = os.path.join(self.world.folder, f"{self.name}.jsonc")
        with open(path, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}", look_up, template))
        return path

    def start(self):
        path = self.write_settings()
        words = world_deploy()["run"].split(" ")
        program = os.path.join(ROOT, words[0])
        if not os.path.exists(program):
            raise CannotRun(f"{words[0]} is not built")
        arguments = [path if word == "/etc/cardamomwinch/node.toml" else word for word in words[1:]]
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "CARDAMOMWINCH_BOOT": path}
        self.process = subprocess.Popen(
            [program, *arguments], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        log.close()
        if self.prober is None:
            self.prober = asyncio.ensure_future(self.probe())

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        reader, writer = await asyncio.open_connection(self.address, self.world.ready_port)
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await reader.readuntil(b"\r\n")
            return b" 200 " in head
        finally:
            writer.close()

    async def probe(self):
        """Asks twice a second whether the host is ready, as the platform does."""
        while True:
            begun = time.monotonic()
            try:
                ready = await asyncio.wait_for(self.is_ready(), 0.4)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                ready = False
            if ready:
                if not self.in_rotation:
                    self.world.record.line(f"{self.name} is in rotation")
                self.in_rotation, self.misses = True, 0
            else:
                self.misses += 1
                if self.misses >= 2 and self.in_rotation:
                    self.in_rotation = False
                    self.world.record.line(f"{self.name} is out of rotation")
            await asyncio.sleep(max(0, begun + 0.5 - time.monotonic()))


DEPLOY = None


def world_deploy():
    global DEPLOY
    if DEPLOY is None:
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        DEPLOY = next(role for role in roles.values() if "front" in role["serves"])
    return DEPLOY


class UdpEnd:
    """A socket of clients or of a backend."""

    def __init__(self, address):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.socket.bind(address)
        self.socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)

    def read(self):
        for _ in range(128):
            try:
                raw, sender = self.socket.recvfrom(2048)
            except BlockingIOError:
                return
            self.receive(raw, sender)

    def send(self, raw, address):
        try:
            self.socket.sendto(raw, address)
        except OSError:
            pass  # lost, as on a network

    def close(self):
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()


class ServerFlow:
    __slots__ = ("seq", "acked", "expected", "open", "echo", "since", "unacked", "timer", "tries", "pending")

    def __init__(self, seq, expected, echo):
        self.seq = seq            # the next byte to send
        self.acked = seq          # what the client has acknowledged
        self.expected = expected  # the client's next byte
        self.open = False
        self.echo = echo
        self.since = time.monotonic()
        self.unacked = []         # (position, data) sent and not acknowledged
        self.timer = None
        self.tries = 0
        self.pending = b""


class Backend(UdpEnd):
    """A backend: answers openings, runs requests in a few slots, writes its entry."""

    def __init__(self, world, service, zone, address, identity=None):
        super().__init__(address)
        self.world = world
        self.service = service
        self.zone = zone
        self.address = address
        self.id = identity or random.getrandbits(31) | 1 << 30
        self.name = f"i-{self.id:08x}"
        self.slots = 2
        self.queue = 8
        self.max_conns = 2000
        self.work_s = 0.02
        self.flows = {}
        self.running = 0
        self.waiting = []
        self.state = "ready"
        self.alive = True
        self.dark = False
        self.sequence = 0
        self.refused_full = 0
        self.born = None

    def entry(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "concurrency": self.slots, "state": self.state,
            "cold-left-ms": 0, "sequence": self.sequence,
        }
        if self.born is not None:
            entry["born"] = self.born
        return entry

    def register(self):
        self.world.store.write(f"servers/{self.name}", self.entry())

    def drain(self):
        self.state = "draining"
        self.register()

    def leave(self):
        self.alive = False
        self.close()
        self.world.store.delete(f"servers/{self.name}")

    def receive(self, raw, sender):
        if self.dark:
            return
        if int.from_bytes(raw[:8], "big") not in (0, self.id):
            return
        packet = Packet(raw[8:])
        if not packet.whole:
            self.world.violation("UNASKED", f"{self.name} got a packet that nobody wrote so")
            return
        host = self.world.hosts_by_address.get(sender)
        if packet.flags & SYN:
            self.opening(packet, host)
        else:
            self.later(packet, host)

    def opening(self, packet, host):
        key = packet.key()
        flow = self.flows.get(key)
        if flow is None:
            if len(self.flows) >= self.max_conns:
                self.drop_half_open()
            if len(self.flows) >= self.max_conns:
                self.refused_full += 1
                return
            seq = random.getrandbits(32)
            flow = ServerFlow((seq + 1) & MASK, (packet.seq + 1) & MASK, packet.echo)
            self.flows[key] = flow
        self.world.opening_taken(self, packet, host)
        self.reply(packet, flow, SYN | ACK, (flow.seq - 1) & MASK if not flow.open else flow.acked)

    def drop_half_open(self):
        now = time.monotonic()
        stale = [key for key, flow in self.flows.items() if not flow.open and now - flow.since > 2]
        for key in stale:
            del self.flows[key]

    def later(self, packet, host):
        key = packet.key()
        flow = self.flows.get(key)
        if flow is not None and not flow.open and packet.ack == flow.seq:
            flow.open = True
            self.world.flow_opened(self, key, host)
        if flow is None or not flow.open:
            if packet.flags & RST:
                return
            flags = ACK if packet.flags & FIN else RST
            self.send_raw(packet, flags, packet.ack, (packet.seq + len(packet.data)) & MASK, packet.echo)
            return
        if packet.echo:
            flow.echo = packet.echo
        if packet.flags & RST:
            return self.forget(key, flow)
        if distance(packet.ack, flow.acked) > 0:
            flow.acked = packet.ack
            flow.tries = 0
            flow.unacked = [one for one in flow.unacked if distance((one[0] + len(one[1])) & MASK, flow.acked) > 0]
        if packet.flags & FIN:
            self.reply(packet, flow, ACK | FIN, flow.seq)
            return self.forget(key, flow)
        if not packet.data:
            return
        if packet.seq == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) & MASK
            flow.pending += packet.data
        self.reply(packet, flow, ACK, flow.seq)
        while b"\r\n\r\n" in flow.pending:
            head, _, rest = flow.pending.partition(b"\r\n\r\n")
            length = re.search(rb"content-length: *(\d+)", head, re.I)
            length = int(length.group(1)) if length else 0
            if len(rest) < length:
                return
            flow.pending = rest[length:]
            self.begin(key, head)

    def begin(self, key, head):
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                return self.answer(key, b"503 Busy", b"X-Not-Executed: 1\r\n", b"")
            self.waiting.append((key, head))
            return
        self.run(key, head)

    def run(self, key, head):
        self.running += 1
        request = re.search(rb"x-request-id: *(\S+)", head, re.I)
        request = request.group(1).decode() if request else ""
        self.world.request_run(self, request)
        asyncio.get_running_loop().call_later(self.work_s, self.done, key, request)

    def done(self, key, request):
        self.running -= 1
        if self.waiting and self.alive and not self.dark:
            self.run(*self.waiting.pop(0))
        body = f"done {request} by {self.name} ".encode().ljust(200, b".")
        self.answer(key, b"200 OK", b"X-Server-Stamp: s\r\n", body)

    def answer(self, key, status, fields, body):
        flow = self.flows.get(key)
        if flow is None or not self.alive or self.dark:
            return
        data = b"HTTP/1.1 " + status + b"\r\n" + fields + b"Content-Length: %d\r\n\r\n" % len(body) + body
        flow.unacked.append((flow.seq, data))
        flow.seq = (flow.seq + len(data)) & MASK
        self.transmit(key, flow, 0.2)

    def transmit(self, key, flow, pause):
        if self.flows.get(key) is not flow or not flow.unacked or not self.alive or self.dark:
            flow.timer = None
            return
        for seq, data in flow.unacked:
            self.send_to_client(key, ACK, seq, flow.expected, flow.echo, data)
        flow.tries += 1
        if flow.tries > 8:
            return self.forget(key, flow)
        if flow.timer:
            flow.timer.cancel()
        flow.timer = asyncio.get_running_loop().call_later(
            pause, self.transmit, key, flow, min(pause * 2, 1.6)
        )

    def forget(self, key, flow):
        if flow.timer:
            flow.timer.cancel()
        self.flows.pop(key, None)
        self.world.flow_closed(self, key)

    def crash(self):
        """Loses everything. The address answers nothing until `restart`."""
        self.flows.clear()
        self.waiting.clear()
        self.running = 0
        self.dark = True

    def send_to_client(self, key, flags, seq, ack, echo, data=b""):
        src, sport, dst, dport = key
        raw = encode(flags, dst, dport, src, sport, seq, ack, echo, data)
        self.send(raw, (ip_text(src), self.world.data_port))

    def send_raw(self, packet, flags, seq, ack, echo):
        self.send_to_client(packet.key(), flags, seq, ack, echo)

    def reply(self, packet, flow, flags, seq):
        self.send_to_client(packet.key(), flags, seq, flow.expected, flow.echo)


class ClientFlow:
    """A flow, from its first opening on. `outcome` is `opening`, `open`, `refused` (reset
    before it was open), `unanswered`, `reset` or `closed`."""

    def __init__(self, client, port, route):
        self.client = client
        self.port = port
        self.route = route
        self.seq = random.getrandbits(32)
        self.expected = 0
        self.echo = 0
        self.outcome = "opening"
        self.server_address = None
        self.reset_by = None
        self.began = time.monotonic()
        self.ended = None
        self.copies = 0
        self.timer = None
        self.request = None
        self.resend = None
        self.last_used = self.began
        self.on_change = None
        self.send_opening()

    def address_key(self):
        return (self.client.number, self.port, self.route[0], self.route[1])

    def transmit(self, flags, data=b"", seq=None):
        seq = self.seq if seq is None else seq
        raw = encode(
            flags, self.client.number, self.port, self.route[0], self.route[1], seq,
            self.copies if flags == SYN else self.expected, 0 if flags == SYN else self.echo, data,
        )
        host = self.client.world.pick(self.client.zone, self.address_key())
        if host is not None:
            self.client.send(raw, host.data)

    def send_opening(self):
        if self.outcome != "opening":
            return
        if self.copies == 3:
            return self.finish("unanswered")
        self.transmit(SYN)
        pause = (0.2, 0.4, 0.8)[self.copies]
        self.copies += 1
        self.timer = asyncio.get_running_loop().call_later(pause, self.send_opening)

    def finish(self, outcome):
        self.outcome = outcome
        self.ended = time.monotonic()
        for timer in (self.timer, self.resend):
            if timer:
                timer.cancel()
        self.client.flows.pop((self.port, self.route), None)
        if self.request is not None:
            request, self.request = self.request, None
            request[2](None)
        if self.on_change:
            self.on_change(self)

    def close(self):
        if self.outcome == "open":
            self.transmit(FIN | ACK)
            self.finish("closed")

    def receive(self, packet, sender):
        from_host = sender in self.client.world.hosts_by_address
        if from_host:
            own_reset = packet.flags == RST and not packet.data and packet.sum == 0
            if not own_reset:
                self.client.world.violation("MIXED", f"{sender} sent a client more than a reset")
                return
            if self.outcome == "open" and abs(distance(packet.seq, self.expected)) > RESET_WINDOW:
                return
            self.reset_by = self.client.world.hosts_by_address[sender].name
            return self.finish("reset" if self.outcome == "open" else "refused")
        if not packet.whole:
            self.client.world.violation("MIXED", "a client got a packet that nobody wrote so")
            return
        if packet.flags & RST:
            self.reset_by = "backend"
            return self.finish("reset" if self.outcome == "open" else "refused")
        if packet.flags & SYN:
            if self.outcome == "opening":
                self.outcome = "open"
                if self.timer:
                    self.timer.cancel()
                self.seq = (self.seq + 1) & MASK
                self.expected = (packet.seq + 1) & MASK
                self.echo = packet.echo
                self.server_address = sender
                self.transmit(ACK)
                if self.on_change:
                    self.on_change(self)
            return
        if self.outcome != "open" or sender != self.server_address:
            return
        if packet.echo:
            self.echo = packet.echo
        if packet.data and packet.seq == self.expected:
            self.expected = (self.expected + len(packet.data)) & MASK
            if self.request is not None:
                name, data, on_answer, _ = self.request
                self.request = None
                if self.resend:
                    self.resend.cancel()
                self.seq = (self.seq + len(data)) & MASK
                on_answer(packet.data)
        if packet.data:
            self.transmit(ACK)

    def ask(self, name, method, on_answer, deadline=3.0):
        """Sends a request of one packet; `on_answer` gets the answer, or `None` if the flow
        ends without one or the deadline passes."""
        body = b"x" * 100 if method == "POST" else b""
        head = f"{method} / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\nContent-Length: {len(body)}\r\n\r\n"
        self.request = (name, head.encode() + body, on_answer, time.monotonic() + deadline)
        self.last_used = time.monotonic()
        self.send_request(0.2)

    def send_request(self, pause):
        if self.outcome != "open" or self.request is None:
            return
        if time.monotonic() >= self.request[3]:
            request, self.request = self.request, None
            return request[2](None)
        self.transmit(ACK, self.request[1])
        self.resend = asyncio.get_running_loop().call_later(pause, self.send_request, min(pause * 2, 1.6))


class Client(UdpEnd):
    """A client machine: all of its flows have its address and ports of their own."""

    def __init__(self, world, zone, address):
        super().__init__((address, world.data_port))
        self.world = world
        self.zone = zone
        self.number = ip_number(address)
        self.flows = {}
        self.next_port = random.randrange(10_000, 20_000)

    def open(self, route, on_change=None, port=None):
        if port is None:
            self.next_port = self.next_port + 1 if self.next_port < 65_000 else 10_000
            port = self.next_port
        flow = ClientFlow(self, port, route)
        flow.on_change = on_change
        self.flows[(port, route)] = flow
        return flow

    def receive(self, raw, sender):
        packet = Packet(raw)
        flow = self.flows.get((packet.dport, (packet.src, packet.sport)))
        if flow is not None:
            flow.receive(packet, sender)


# The worlds of this process, whose hosts are ended with it.
WORLDS = []
# The second numbers of the loopback addresses, one for each world of this process.
OCTETS = random.sample(range(20, 240), 16)


class World:
    """All that a case plays with."""

    region = "region"
    bounds = {"flow-ttl-s": 60, "grace-s": 6}

    def __init__(self, record, zones):
        self.record = record
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="cardamomwinch-review-")
        self.octet = OCTETS.pop()
        ports = random.sample(range(21_000, 31_000, 20), 5)
        self.data_port, self.ready_port, self.control_port, self.first_port, self.store_port = ports
        self.server_port = ports[0] + 7
        self.store = Store(self)
        self.hosts = []
        self.hosts_by_address = {}
        self.backends = []
        self.clients = []
        self.violations = []
        self.seeds = []
        self.open_flows = {}
        self.runs = {}
        self.openings = []
        WORLDS.append(self)

    def address(self, kind, zone, number):
        return f"127.{self.octet}.{kind * 10 + self.zones.index(zone)}.{number}"

    async def add_host(self, zone, name, number):
        store_address = (self.address(1, zone, number), self.store_port)
        await self.store.listen(name, store_address)
        host = Host(self, name, zone, self.address(2, zone, number), store_address)
        self.hosts.append(host)
        self.hosts_by_address[host.data] = host
        return host

    def add_backend(self, service, zone, number, **options):
        address = (self.address(3, zone, number), self.server_port)
        backend = Backend(self, service, zone, address)
        for name, value in options.items():
            setattr(backend, name, value)
        self.backends.append(backend)
        return backend

    def add_client(self, zone, number):
        client = Client(self, zone, self.address(4, zone, number))
        self.clients.append(client)
        return client

    def set_seeds(self, hosts):
        self.seeds = [f"{host.address}:{self.control_port}" for host in hosts]

    def pick(self, zone, key):
        """The host that a router of `zone` hands a packet to: by a hash over the hosts in
        rotation, all hosts of the zone if fewer than half are, those of other zones if none
        is."""
        of_zone = [host for host in self.hosts if host.zone == zone]
        ready = [host for host in of_zone if host.in_rotation]
        if not ready:
            ready = [host for host in self.hosts if host.in_rotation]
        elif len(ready) * 2 < len(of_zone):
            ready = of_zone
        if not ready:
            return None
        return ready[zlib.crc32(struct.pack("<IHIH", *key)) % len(ready)]

    async def wait_ready(self, hosts=None, limit=15):
        until = time.monotonic() + limit
        while not all(host.in_rotation for host in hosts or self.hosts):
            for host in hosts or self.hosts:
                if host.process.poll() is not None:
                    raise CannotRun(f"{host.name} ended")
            if time.monotonic() > until:
                raise CannotRun("the hosts are not ready")
            await asyncio.sleep(0.1)

    # What backends and clients observe; cases extend these.

    def violation(self, rule, text):
        self.violations.append((rule, text))
        if len(self.violations) <= 200:
            self.record.line(f"{rule} BROKEN: {text}")

    def opening_taken(self, backend, packet, host):
        pass

    def flow_opened(self, backend, key, host):
        self.open_flows[key] = (backend, time.monotonic(), host)

    def flow_closed(self, backend, key):
        self.open_flows.pop(key, None)

    def request_run(self, backend, request):
        self.runs[request] = self.runs.get(request, 0) + 1

    def lag_guard(self):
        return asyncio.ensure_future(self.watch_lag())

    async def watch_lag(self):
        """Notes when this process itself did not run for a while."""
        self.worst_lag = 0.0
        while True:
            begun = time.monotonic()
            await asyncio.sleep(0.05)
            self.worst_lag = max(self.worst_lag, time.monotonic() - begun - 0.05)

    def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
            return
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def route(name, host, port, kind, service, goal=200, timeout=3000, priority=1):
    return {
        "name": name, "host": host, "prefix": f"/{port}/", "type": kind, "timeout-ms": timeout,
        "latency-goal-ms": goal, "priority": priority, "service": service, "max-attempts": 2,
    }


def configuration(version, routes, services, idle_timeout_ms=15_000, max_conns=2000):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": service, "health-path": "/health", "max-conns": max_conns, "protocol": "h1", "tls": False}
            for service in services
        ],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
            "idle-timeout-ms": idle_timeout_ms,
        },
    }


def play(folder, zones, case, limit=115):
    """Runs `case(world)`, which returns whether the rule held, and returns the exit code."""
    record = Record(os.path.join(folder, "record.txt"))
    record.line(f"TROUBLE={int(TROUBLE)}")

    def finish(code):
        record.line({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "not run"}[code])
        record.close()
        # Tasks that are still waiting must not keep the process alive.
        os._exit(code)

    async def run():
        world = World(record, zones)
        guard = world.lag_guard()
        task = asyncio.ensure_future(case(world))
        await asyncio.wait([task], timeout=limit)
        guard.cancel()
        record.line(f"the stand-ins stood still for {world.worst_lag * 1000:.0f} ms at most")
        for one in WORLDS:
            one.end()
        if not task.done():
            record.line("could not run: it took too long")
            finish(COULD_NOT_RUN)
        error = task.exception()
        if isinstance(error, (CannotRun, OSError)):
            record.line(f"could not run: {error!r}")
            finish(COULD_NOT_RUN)
        if error is not None:
            traceback.print_exception(error)
            record.line(f"could not run: {error!r}")
            finish(COULD_NOT_RUN)
        finish(HELD if task.result() else BROKEN)

    asyncio.run(run())

"""A backend is added whose id ends like that of another one; see claim.txt."""

import asyncio
import json
import os
import random
import re
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import standins  # noqa: E402
from standins import ACK, RST, pack  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# As in the small deployments.
BOUNDS = {"flow-ttl-s": 60, "grace-s": 6, "stability-ms": 4000}
ZONES = {"zone-a": "region", "zone-b": "region"}
HOSTS = [("zone-a", 2), ("zone-b", 1)]
BACKENDS = [
    ("i-c1e52f91d3", "zone-a"), ("i-9d20c6e874", "zone-a"),
    ("i-27f19a5c0b", "zone-b"), ("i-e58b03d71f", "zone-b"),
]
# The id of the backend that `scale_out` adds: one to four, a share of 0.25.
ADDED = "i-4be52f91d3" if TROUBLE else "i-4b7a0463b8"
ROUTE = ("127.18.0.1", 8443)
SESSIONS = 24


class Session:
    """A flow that its client keeps open for many requests."""

    def __init__(self, client, host, port):
        self.client, self.host, self.port = client, host, port
        self.isn = random.getrandbits(32)
        self.backend = None
        self.number = 0

    async def begin(self):
        answer = await self.client.open(self.host.data, ROUTE, self.port, self.isn)
        if answer is None or answer.flags & RST:
            return "not opened"
        self.seq, self.ack, self.echo = self.isn + 1, answer.seq + 1, answer.echo
        return await self.ask()

    async def ask(self):
        """Sends one request; returns how it ended."""
        self.number += 1
        request = "%d-%d" % (self.port, self.number)
        text = ("GET / HTTP/1.1\r\nHost: r\r\nX-Request-Id: %s\r\n\r\n" % request).encode()
        queue = self.client.waiting[self.port]
        loop = asyncio.get_running_loop()
        for wait in (0.2, 0.4, 0.8):
            out = pack(ACK, self.client.ip, self.port, *ROUTE, self.seq, self.ack, self.echo, text)
            self.client.transport.sendto(out, self.host.data)
            until = loop.time() + wait
            while loop.time() < until:
                try:
                    answer = await asyncio.wait_for(queue.get(), until - loop.time())
                except asyncio.TimeoutError:
                    break
                if answer.flags & RST:
                    return "reset"
                if answer.data:
                    self.echo = answer.echo
                    self.seq += len(text)
                    self.ack = answer.seq + len(answer.data)
                    found = re.search(rb"X-Server-Stamp: (\S+)", answer.data)
                    self.backend = found.group(1).decode()
                    out = pack(ACK, self.client.ip, self.port, *ROUTE, self.seq, self.ack, self.echo)
                    self.client.transport.sendto(out, self.host.data)
                    return "200"
        return "no answer"


async def play(record, folder):
    ports = {name: standins.free_port() for name in ("ready", "control", "admin", "store")}
    ports["data"] = standins.free_port(standins.socket.SOCK_DGRAM)
    store = standins.Store(record)
    store_address = ("127.0.5.1", ports["store"])
    await store.listen(store_address)
    backends = {}

    async def start_backend(name, zone):
        address = ("127.0.4.%d" % (len(backends) + 1), ports["data"])
        backends[name] = standins.Backend(record, name, "desk", zone, address, ports["data"])
        await backends[name].listen()
        backends[name].register(store)

    for name, zone in BACKENDS:
        await start_backend(name, zone)
    route = {
        "name": "r-desk", "host": ROUTE[0], "prefix": "/%d/" % ROUTE[1], "type": "unsafe",
        "timeout-ms": 2000, "latency-goal-ms": 200, "priority": 1, "service": "desk",
        "max-attempts": 2,
    }
    value = {"version": 3, "routes": [route], "limits": {"idle-timeout-ms": 12000},
             "services": [{"name": "desk", "health-path": "/health"}]}
    store.put("op/config", json.dumps(value).encode())

    places = [(zone, "127.0.1.%d" % (10 * place + one + 1))
              for place, (zone, count) in enumerate(HOSTS) for one in range(count)]
    seeds = ["%s:%d" % (places[place][1], ports["control"]) for place in (0, 2)]
    for number, (zone, ip) in enumerate(places):
        host = standins.Host(folder.path, "front-%d" % number, zone, ip, ports, store_address,
                             ZONES, seeds, BOUNDS)
        folder.hosts.append(host)
        host.start()
    for host in folder.hosts:
        if not await host.wait_ready():
            record.note("%s is not ready" % host.name)
            return 2
    await asyncio.sleep(BOUNDS["stability-ms"] / 1000)

    client = standins.Client(record, "127.0.3.1", ports["data"])
    await client.listen()
    sessions = []
    for number in range(SESSIONS):
        session = Session(client, folder.hosts[number % len(folder.hosts)], 2000 + number)
        outcome = await session.begin()
        record.note("flow %d through %s: opened at %s, first request: %s" % (
            session.port, session.host.name, session.backend, outcome))
        if outcome != "200":
            record.note("the path does not work")
            return 2
        sessions.append(session)

    await start_backend(ADDED, "zone-a")
    record.note("%s has registered" % ADDED)
    await asyncio.sleep(2)

    broken = []
    for session in sessions:
        own = backends[session.backend]
        before = len(own.runs)
        outcome = await session.ask()
        at_own = len(own.runs) > before
        record.note("flow %d at %s: second request: %s%s" % (
            session.port, session.backend, outcome, "" if at_own else ", not run by its backend"))
        if outcome == "reset" and not at_own:
            broken.append(session)
    for backend in backends.values():
        record.note("%s: holds %d flows, ran %d requests, got %d packets of flows that it does not "
                    "hold" % (backend.name, len(backend.flows), len(backend.runs), backend.strangers))
    if not all(host.runs() for host in folder.hosts):
        return 2
    if broken:
        record.note("RESULT: broken, %d of %d open flows were reset by a backend that is not theirs; "
                    "their own lives and holds them" % (len(broken), SESSIONS))
        return 1
    record.note("RESULT: held")
    return 0


if __name__ == "__main__":
    standins.run_case(play, HERE, 110)

"""A backend leaves while one machine is cut off from the store; see claim.txt."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# As on nasf-giza.
BOUNDS = {"flow-ttl-s": 60, "grace-s": 6, "drain-ms": 3000, "stability-ms": 4000}
ZONES = {"giza-a": "giza", "giza-b": "giza", "giza-c": "giza"}
HOSTS_PER_ZONE = 2
# The part of the addresses that is used, in sixteenths: see `order_number`.
LEAST_SPREAD = 12
# One of nine leaves in a round: `scale_in` has a share of 0.13.
BACKENDS_PER_ZONE = 3
# `core_cut`: one machine at a time, silent, for 5.5 s at most.
CUT_S = 5.4
ROUNDS = 14
ASK_GAP_S = 0.01
ROUTE = ("127.18.0.1", 8443)


def configuration(version, timeout_ms):
    route = {
        "name": "r-check", "host": ROUTE[0], "prefix": "/%d/" % ROUTE[1], "type": "unsafe",
        "timeout-ms": timeout_ms, "latency-goal-ms": 250, "priority": 1, "service": "spice",
        "max-attempts": 2,
    }
    services = [{"name": "spice", "health-path": "/health"}]
    value = {"version": version, "routes": [route], "services": services,
             "limits": {"idle-timeout-ms": 12000}}
    return json.dumps(value).encode()


def order_number(ip, port):
    """The number that hosts of a zone are ordered by. The lowest one reads the store for the
    others. Its remainder by 16 spreads the age at which a host reads the store itself."""
    mask = (1 << 64) - 1
    number = (standins.number_of(ip) ^ (port << 48)) & mask
    number = (number ^ (number >> 30)) * 0xBF58476D1CE4E5B9 & mask
    number = (number ^ (number >> 27)) * 0x94D049BB133111EB & mask
    return number ^ (number >> 31)


def choose_addresses(place, port):
    """Addresses for the hosts of a zone. The first one reads the store; the other one is among
    those that wait longest, as four addresses in sixteen do."""
    found = sorted((order_number("127.0.1.%d" % number, port), "127.0.1.%d" % number)
                   for number in range(20 * place + 1, 20 * place + 21))
    follower = next(one for one in found[1:] if one[0] % 16 >= LEAST_SPREAD)
    return [found[0][1], follower[1]]


class Round:
    """One cut and one leaving backend, in one zone."""

    def __init__(self, world, zone, number):
        self.world, self.zone, self.number = world, zone, number
        self.record = world["record"]
        self.late = []

    def reader(self):
        """The host of the zone whose call the store received last."""
        hosts = [host for host in self.world["hosts"] if host.zone == self.zone]
        return max(hosts, key=lambda host: host.link.last_sent)

    async def play(self):
        world, record = self.world, self.record
        cut = self.reader()
        others = [one for one in world["hosts"] if one.zone == self.zone and one is not cut]
        leaving = next(one for one in world["backends"]
                       if one.zone == self.zone and one.state == "ready")
        world["store"].put("op/config", configuration(10 + 3 * self.number, 1500 + self.number))
        record.note("round %d: a change is acknowledged" % self.number)
        await asyncio.sleep(0.05)
        if TROUBLE:
            cut.link.set_cut(True)
            record.note("%s is cut off from the store" % cut.name)
        leaving.state = "draining"
        leaving.register(world["store"])
        acknowledged, clock = record.now(), time.time()
        record.note("%s is draining: acknowledged" % leaving.name)
        limit = BOUNDS["drain-ms"] / 1000
        await asyncio.sleep(limit - 0.1)
        while record.now() < acknowledged + limit + 1.0:
            world["tries"].extend(
                asyncio.ensure_future(world["client"].attempt(host.data, ROUTE, "r-check"))
                for host in others)
            await asyncio.sleep(ASK_GAP_S)
        await asyncio.sleep(max(0, acknowledged + CUT_S - record.now()))
        if TROUBLE:
            cut.link.set_cut(False)
            record.note("%s reaches the store again" % cut.name)
        for host in [cut] + others:
            learned = host.learned(leaving)
            record.note("%s%s logs the drain %s after it was acknowledged" % (
                host.name, " (cut off)" if TROUBLE and host is cut else "",
                "%.3f s" % (learned - clock) if learned else "not yet"))
        for at, key, through in leaving.openings:
            name = next(host.name for host in world["hosts"] if host.ip == through)
            if at > acknowledged + limit and name != cut.name:
                self.late.append(at - acknowledged)
                record.note("BROKEN: the opening of flow %s:%d reached %s %.3f s after its drain "
                            "was acknowledged, from %s" % (key[0], key[1], leaving.name,
                                                           at - acknowledged, name))
        world["store"].delete("servers/" + leaving.name)
        leaving.state = "gone"
        world["new_backend"](self.zone)
        await asyncio.sleep(0.5)
        return self.late


async def play(record, folder):
    ports = {name: standins.free_port() for name in ("ready", "control", "admin", "store")}
    ports["data"] = standins.free_port(standins.socket.SOCK_DGRAM)
    store = standins.Store(record)
    store_address = ("127.0.5.1", ports["store"])
    await store.listen(store_address)

    backends, started = [], []

    def new_backend(zone):
        number = len(backends) + 1
        backend = standins.Backend(
            record, "i-%010x" % (0xA100000000 + 0x1F3D5B79 * number), "spice", zone,
            ("127.0.4.%d" % number, ports["data"]), ports["data"])
        backends.append(backend)

        async def start():
            await backend.listen()
            backend.register(store)

        started.append(asyncio.ensure_future(start()))

    for zone in ZONES:
        for _ in range(BACKENDS_PER_ZONE):
            new_backend(zone)
    await asyncio.gather(*started)
    store.put("op/config", configuration(3, 1500))

    places = [(zone, ip) for place, zone in enumerate(ZONES)
              for ip in choose_addresses(place, ports["control"])]
    seeds = ["%s:%d" % (places[place][1], ports["control"])
             for place in range(0, len(places), HOSTS_PER_ZONE)]
    for number, (zone, ip) in enumerate(places):
        link = standins.Link(store_address)
        link_address = ("127.0.6.%d" % (number + 1), ports["store"])
        await link.listen(link_address)
        host = standins.Host(folder.path, "front-%s-%d" % (zone, number), zone, ip, ports,
                             link_address, ZONES, seeds, BOUNDS)
        host.zone, host.link = zone, link
        folder.hosts.append(host)
        host.start()
    for host in folder.hosts:
        if not await host.wait_ready():
            record.note("%s is not ready" % host.name)
            return 2
    client = standins.Client(record, "127.0.3.1", ports["data"])
    await client.listen()
    for host in folder.hosts:
        _, outcome, _, _ = await client.attempt(host.data, ROUTE, "r-check")
        if outcome != "200":
            record.note("the path does not work")
            return 2
    # The hosts of a zone agree within seconds on which of them read the store.
    await asyncio.sleep(4 + BOUNDS["stability-ms"] / 1000)

    world = {"record": record, "store": store, "hosts": folder.hosts, "backends": backends,
             "client": client, "tries": [], "new_backend": new_backend}
    late = []
    zones = list(ZONES)
    for number in range(ROUNDS):
        late += await Round(world, zones[number % len(zones)], number).play()
    results = await asyncio.gather(*world["tries"])
    served = sum(outcome == "200" for _, outcome, _, _ in results)
    record.note("%d of %d requests were served" % (served, len(results)))
    if not all(host.runs() for host in folder.hosts) or served < 0.9 * len(results):
        record.note("the path does not work")
        return 2
    if late:
        record.note("RESULT: broken, %d openings, the latest %.3f s after the acknowledgement "
                    "(bound 3 s)" % (len(late), max(late)))
        return 1
    record.note("RESULT: held")
    return 0


if __name__ == "__main__":
    standins.run_case(play, HERE, 115)

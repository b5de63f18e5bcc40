"""Backends that hold as many flows as they may answer no further opening. Do the sessions
that they hold stay open?

A rush opens sessions on a service of two backends. Each session asks once and then pauses,
for less than the idle timeout. With the burst the rush is 1.7 times as strong for 3 s, and
the last callers find all backends full.
"""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import world as w

ZONE = "giza-a"
SESSIONS = (w.ip_number("127.250.0.1"), 443)
STEADY = (w.ip_number("127.250.0.2"), 8443)
MAX_CONNS = 2000
RUSH_PER_S = 450
RUSH_S = 8.0
BURST_AT_S, BURST_FOR_S, BURST_X = 5.0, 3.0, 1.7
PAUSE_S = (11.0, 13.0)
STABILITY_S = 4.0


async def case(world):
    record = world.record
    hosts = [await world.add_host(ZONE, f"front-{ZONE}-{n}", n) for n in (1, 2, 3)]
    world.set_seeds(hosts)
    for number in range(1, 3):
        world.add_backend("intake", ZONE, number, slots=3, queue=12, work_s=0.002, max_conns=MAX_CONNS)
    for number in range(11, 25):
        world.add_backend("stream", ZONE, number, slots=3)
    routes = [
        w.route("sessions", "127.250.0.1", 443, "safe", "intake", goal=500, timeout=5000),
        w.route("steady", "127.250.0.2", 8443, "safe", "stream"),
    ]
    world.store.write("op/config", w.configuration(7, routes, ["intake", "stream"], max_conns=MAX_CONNS))
    for backend in world.backends:
        backend.register()
    for host in hosts:
        host.start()
    await world.wait_ready()
    await asyncio.sleep(STABILITY_S + 1)

    clients = [world.add_client(ZONE, n) for n in range(1, 31)]
    loop = asyncio.get_running_loop()
    sessions, resets = [], []
    counts = {"asked": 0, "answered": 0, "steady": 0, "steady answered": 0}

    def use(flow):
        if flow.outcome != "open":
            return
        counts["asked"] += 1
        flow.ask(f"s-{flow.client.number:x}-{flow.port}-{counts['asked']}", "GET", answered)
        loop.call_later(random.uniform(*PAUSE_S), use, flow)

    def answered(data):
        counts["answered"] += data is not None

    def changed(flow):
        if flow.outcome == "open":
            flow.opened = time.monotonic()
            use(flow)
        elif flow.outcome == "reset":
            resets.append(flow)
            if len(resets) <= 40:
                idle = flow.ended - flow.last_used
                record.line(
                    f"session {flow.client.number:x}:{flow.port} reset by {flow.reset_by} after "
                    f"{flow.ended - flow.opened:.2f} s, last request {idle:.2f} s before"
                )

    def stream(client):
        """A flow of the other service that stays open and asks two or three times a second."""
        def on_change(flow):
            if flow.outcome == "open":
                ask(flow)
            elif flow.outcome != "closed" and not ended:
                stream(client)

        def ask(flow):
            if flow.outcome != "open" or ended:
                return
            counts["steady"] += 1
            flow.ask(f"t-{counts['steady']}", "GET", lambda data: steady_answered(data))
            loop.call_later(random.uniform(0.3, 0.5), ask, flow)

        client.open(STEADY).on_change = on_change

    def steady_answered(data):
        counts["steady answered"] += data is not None

    ended = []
    for client in clients * 4:
        stream(client)
    await asyncio.sleep(2)
    begun = time.monotonic()
    record.line("the rush begins")
    while (at := time.monotonic() - begun) < RUSH_S:
        extra = max(0.0, min(at - BURST_AT_S, BURST_FOR_S)) * (BURST_X - 1) * w.TROUBLE
        while len(sessions) < (at + extra) * RUSH_PER_S:
            flow = random.choice(clients).open(SESSIONS)
            flow.on_change = changed
            sessions.append(flow)
        await asyncio.sleep(max(0.0005, begun + at + 0.005 - time.monotonic()))
    record.line(f"the rush ends: {len(sessions)} sessions tried")
    await asyncio.sleep(6)
    ended.append(True)

    outcomes = {}
    for flow in sessions:
        outcomes[flow.outcome] = outcomes.get(flow.outcome, 0) + 1
    record.line(f"outcomes of sessions: {outcomes}")
    record.line(f"requests: {counts}")
    for backend in world.backends[:2]:
        record.line(
            f"{backend.name}: holds {len(backend.flows)} flows, left {backend.refused_full} openings unanswered"
        )
    by_host = {}
    for flow in resets:
        by_host[flow.reset_by] = by_host.get(flow.reset_by, 0) + 1
    record.line(f"open sessions reset, by sender: {by_host}")
    broken = sum(number for sender, number in by_host.items() if sender != "backend")
    if broken:
        record.line(f"FLOW broken: {broken} open flows of living backends were reset by hosts")
    return not broken and not world.violations


sys.exit(w.play(HERE, [ZONE], case))

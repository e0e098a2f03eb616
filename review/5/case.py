"""A version that comes just after the nodes that read a large configuration for
the others were killed reaches the surviving nodes only when one of them polls."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "standins"))

import lab as lab_module
from lab import Client, route

# The bounds and figures of sites/varo-mesh.toml.
BOUNDS = {"budgetSlack": "64"}
CONFIG_APPLY_SECONDS = 2.0
IDLE_ROUTES = 300
GROWN_ROUTES = 350
ZONES = {"a": 8, "b": 7, "c": 5}
# herd_kill, share 0.55 of 20 machines.
KILLED = 11
# Less than for_s of the site file, 2.0 s, from the kill to the start.
DARK_SECONDS = 1.8
ROUNDS = 11
START_SECONDS = 4.0
GROWTH_SECONDS = 2.5
ROUND_SECONDS = 8.5
WATCH_SECONDS = 7.5
PAUSE_SECONDS = 0.1


def many(name, count):
    return [route(f"r-{name}{i:05d}", f"/{name}{i:04d}/ab12/", "safe", "plans")
            for i in range(count)]


def routes(growths, dropped):
    """The routes; those with a number below `dropped` are gone."""
    return ([route("plan", "/plan/", "safe", "plans"),
             route("order", "/order/", "unsafe", "orders")] +
            [route(f"x{i}", f"/x{i}/", "safe", "plans")
             for i in range(dropped, ROUNDS)] +
            many("idle", IDLE_ROUTES) + many("grown", GROWN_ROUTES * growths))


class Probes:
    def __init__(self):
        self.round = 0
        self.sent = []
        self.is_over = False

    async def ask(self, lab, node):
        client = Client(lab, node, f"c-{node.name}")
        while not self.is_over:
            await client.send("GET", f"/plan/{node.name}")
            at, number = lab.record.now(), self.round
            request_id, answer = await client.send("GET", f"/x{number}/1")
            if answer is not None and answer.status == 200:
                self.sent.append((number, at, node, request_id))
            await asyncio.sleep(PAUSE_SECONDS)
        client.close()


def readers_of(nodes):
    """The four nodes that read for the others: equal capacity, so by name, two
    of a data centre at most."""
    chosen, of_zone = [], {}
    for node in sorted(nodes, key=lambda each: each.name):
        if len(chosen) < 4 and of_zone.get(node.zone, 0) < 2:
            of_zone[node.zone] = of_zone.get(node.zone, 0) + 1
            chosen.append(node)
    return chosen


async def case(lab, trouble):
    lab.bounds.update(BOUNDS)
    for zone, count in ZONES.items():
        for i in range(count):
            lab.add_node("plans" if i % 2 == 0 else "orders", zone)
    readers = readers_of(lab.nodes)
    others = [node for node in lab.nodes if node not in readers]
    killed = readers + others[:KILLED - len(readers)]
    survivors = [node for node in lab.nodes if node not in killed]
    await lab.apply(routes(0, 0))
    await lab.start_all()
    probes = Probes()
    tasks = [asyncio.create_task(probes.ask(lab, node)) for node in survivors]
    await asyncio.sleep(START_SECONDS)
    for growths in (1, 2):
        await lab.apply(routes(growths, 0))
        await asyncio.sleep(GROWTH_SECONDS)
    acknowledged = {}
    for number in range(ROUNDS):
        begin = lab.record.now()
        probes.round = number
        if trouble:
            for node in killed:
                node.send_signal(signal.SIGKILL)
        await asyncio.sleep(0.1)
        await lab.apply(routes(2, number + 1))
        acknowledged[number] = lab.record.now()
        await asyncio.sleep(begin + DARK_SECONDS - lab.record.now())
        if trouble:
            for node in killed:
                node.process.wait()
                node.start()
        await asyncio.sleep(begin + ROUND_SECONDS - lab.record.now())
    probes.is_over = True
    await asyncio.gather(*tasks)
    late = [(at - acknowledged[number], node.name, request_id)
            for number, at, node, request_id in probes.sent
            if CONFIG_APPLY_SECONDS < at - acknowledged[number] < WATCH_SECONDS]
    lab.record(f"late runs on a dropped route: {len(late)}")
    if not late:
        return []
    worst = max(late)
    return [f"CONFIG: {len(late)} requests ran on a dropped route later than "
            f"{CONFIG_APPLY_SECONDS} s after the acknowledgement at machines "
            f"in touch, the last {worst[0]:.2f} s after it at {worst[1]}, "
            f"{worst[2]}"]


lab_module.main(case)

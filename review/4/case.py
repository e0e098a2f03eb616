"""A version that makes a large configuration small again reaches the nodes
that follow the changes of others only when they poll."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "standins"))

import lab as lab_module
from lab import Client, route

# The bounds and figures of sites/varo-mesh.toml.
BOUNDS = {"budgetSlack": "64"}
CONFIG_APPLY_SECONDS = 2.0
IDLE_ROUTES = 300
# Routes that one growth adds (big_config); it comes twice.
GROWN_ROUTES = 350
ROUNDS = 5
START_SECONDS = 5.0
CALM_SECONDS = 4.0
WATCH_SECONDS = 8.0
PAUSE_SECONDS = 0.1


def base_routes(has_extra):
    routes = [route("plan", "/plan/", "safe", "plans"),
              route("order", "/order/", "unsafe", "orders")]
    if has_extra:
        routes.append(route("extra", "/extra/", "safe", "plans"))
    return routes + many("idle", IDLE_ROUTES)


def many(name, count):
    return [route(f"r-{name}{i:05d}", f"/{name}{i:04d}/ab12/", "safe", "plans")
            for i in range(count)]


class Probes:
    """The requests on the route that is dropped, and when they were sent."""

    def __init__(self):
        self.sent_at = {}
        self.is_over = False

    async def ask(self, lab, node):
        client = Client(lab, node, f"c-{node.name}")
        while not self.is_over:
            await client.send("GET", f"/plan/{node.name}")
            at = lab.record.now()
            request_id, answer = await client.send("GET", "/extra/1")
            if answer is not None:
                self.sent_at[request_id] = (at, node, answer.status)
            await asyncio.sleep(PAUSE_SECONDS)
        client.close()


async def case(lab, trouble):
    lab.bounds.update(BOUNDS)
    for zone in ("a", "b", "c"):
        for service in ("plans", "plans", "orders"):
            lab.add_node(service, zone)
    await lab.apply(base_routes(True))
    await lab.start_all()
    probes = Probes()
    tasks = [asyncio.create_task(probes.ask(lab, node)) for node in lab.nodes]
    await asyncio.sleep(START_SECONDS)
    spans = []
    for _ in range(ROUNDS):
        for growths in (1, 2):
            grown = many("grown", GROWN_ROUTES * growths) if trouble else []
            await lab.apply(base_routes(True) + grown)
            await asyncio.sleep(CALM_SECONDS)
        await lab.apply(base_routes(False))
        acknowledged = lab.record.now()
        await asyncio.sleep(WATCH_SECONDS)
        spans.append((acknowledged, lab.record.now()))
    probes.is_over = True
    await asyncio.gather(*tasks)

    late = []
    for acknowledged, end in spans:
        for request_id, (at, node, status) in probes.sent_at.items():
            if acknowledged + CONFIG_APPLY_SECONDS < at < end - 0.5 and \
                    status == 200:
                late.append((at - acknowledged, node.name, request_id))
    lab.record(f"requests on the dropped route that ran later than "
               f"configApply after the acknowledgement: {len(late)}")
    if not late:
        return []
    worst = max(late)
    return [f"CONFIG: {len(late)} requests ran on a dropped route later than "
            f"{CONFIG_APPLY_SECONDS} s after the acknowledgement, the last "
            f"{worst[0]:.2f} s after it at {worst[1]}, {worst[2]}"]


lab_module.main(case)

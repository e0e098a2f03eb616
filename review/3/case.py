"""A departure that was acknowledged while the store turned the node away is
forgotten by the restarted node, and a heartbeat that arrives late makes the
backend ready again."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "standins"))

import lab as lab_module
from lab import Client, route

CALM_SECONDS = 4.0
TURNED_AWAY_SECONDS = 5.0
STABLE_WINDOW_SECONDS = 3.0
DRAIN_SECONDS = 2.0
RESTART_SECONDS = 0.2
HEARTBEAT_DELAY_SECONDS = 6.0
SERVE_ON_SECONDS = 15.0
PAUSE_SECONDS = 0.05


async def ask(lab, node, end):
    client = Client(lab, node, f"c-{node.name}")
    while lab.record.now() < end[0]:
        await client.send("GET", f"/plan/{node.name}")
        await asyncio.sleep(PAUSE_SECONDS)
    client.close()


async def case(lab, trouble):
    leaving = lab.add_node("plans", "a")
    lab.add_node("plans", "b")
    lab.add_node("plans", "b")
    lab.add_node("orders", "a")
    await lab.apply([route("plan", "/plan/", "safe", "plans"),
                     route("order", "/order/", "unsafe", "orders")])
    await lab.start_all()
    end = [1e9]
    others = [asyncio.create_task(ask(lab, node, end))
              for node in lab.nodes if node is not leaving]
    await asyncio.sleep(CALM_SECONDS)
    backend = leaving.backend

    if trouble:
        lab.record(f"store turns {leaving.name} away, without an answer")
        leaving.store_door.begin_outage("silent")
    begin = lab.record.now()
    await asyncio.sleep(0.3)
    # The last heartbeat before the departure is on its way for some seconds.
    backend.is_announcing = False
    late_heartbeat = backend.make_heartbeat()
    sent = lab.record.now()
    lab.record(f"backend {backend.id} sends a heartbeat that arrives late, "
               f"seq={late_heartbeat['status']['seq']}")
    await asyncio.sleep(0.1)
    lab.record(f"backend {backend.id} deregisters")
    if not await backend.deregister():
        raise lab_module.CannotRun("the departure was not acknowledged")
    acknowledged = lab.record.now()
    lab.record(f"departure of {backend.id} acknowledged")
    end[0] = acknowledged + SERVE_ON_SECONDS

    # Planned work: the node is stopped and started again on its own.
    await leaving.stop(signal.SIGTERM)
    await asyncio.sleep(RESTART_SECONDS)
    leaving.start()
    calm_since = lab.record.now()
    if trouble:
        await asyncio.sleep(begin + TURNED_AWAY_SECONDS - lab.record.now())
        lab.record(f"store answers {leaving.name} again")
        leaving.store_door.end_outage()
        calm_since = lab.record.now()
    await asyncio.sleep(sent + HEARTBEAT_DELAY_SECONDS - lab.record.now())
    arrived = await backend.say_heartbeat(late_heartbeat)
    lab.record(f"late heartbeat of {backend.id} arrives, "
               f"acknowledged={arrived}")
    await asyncio.gather(*others)

    bound = max(acknowledged + DRAIN_SECONDS,
                calm_since + STABLE_WINDOW_SECONDS)
    late = [request for request, times in backend.runs.items()
            if times[0] > bound]
    lab.record(f"bound of the check: {bound:.3f}; runs after it at the "
               f"backend that left: {len(late)}")
    return [f"DRAIN: {len(late)} requests ran at {backend.id} later than "
            f"{bound - acknowledged:.1f} s after its departure was "
            f"acknowledged, e.g. {late[0]}"] if late else []


lab_module.main(case)

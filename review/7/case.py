"""CONFIG: a version in which a tenant has 300 keys is refused whole; all nodes
keep the version before it.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "parts-2"))

from mesh import Backend, client_call, configuration, route, run_case, wait_for

KEYS = 300
FEWER_KEYS = 200
BOUNDS = {"configApply": "2500ms", "drain": "2500ms"}
CONFIG_APPLY_S = 2.5
JUDGED_S = 15.0


def play(make, note, with_trouble):
    mesh = make(BOUNDS)
    orders = Backend("orders", note)
    stock = Backend("stock", note)
    front = Backend("front", note)
    backends = (orders, stock, front)
    nodes = [mesh.add(backend.service, backend.address) for backend in backends]

    def version(name, service, keys, withdrawn):
        tenants = [
            {"name": "acme", "apiKeys": [f"key-{i:04d}" for i in range(keys)]},
            {"name": "zeta", "apiKeys": ["zeta-1", *withdrawn]},
        ]
        routes = [route("moved", "/moved/", "safe", service)]
        services = ["orders", "stock", "front"]
        return configuration(name, routes, services, tenants)

    mesh.configure(version("r1", "orders", 20, ["zeta-2"]))
    for node, backend in zip(nodes, backends):
        node.start()
        backend.attach(node)
    wait_for(lambda: all(node.is_ready() for node in nodes), 15, "ready nodes")
    tries = iter(range(1000))

    def call(node, key, name):
        fields = [("X-Credential", key)]
        return client_call(node, "GET", "/moved/x", name, fields)

    for node in nodes:
        wait_for(
            lambda node=node: call(node, "key-0001", f"w-{next(tries)}") == 200,
            15,
            "a served request",
        )
    mesh.configure(version("r2", "stock", KEYS if with_trouble else FEWER_KEYS, []))
    acknowledged = time.monotonic()
    time.sleep(CONFIG_APPLY_S + 0.5)
    judged = time.monotonic()
    number = 0
    while time.monotonic() < acknowledged + CONFIG_APPLY_S + JUDGED_S:
        for node in nodes:
            number += 1
            call(node, "key-0001", f"moved-{number}")
            call(node, "zeta-2", f"withdrawn-{number}")
        time.sleep(0.5)
    broken = 0
    for backend in backends:
        for when, request_id, *_ in backend.runs:
            if when < judged:
                continue
            after = when - acknowledged
            if request_id.startswith("withdrawn"):
                broken += 1
                note(
                    f"rule: CONFIG id={request_id} ran with a key that r2 dropped, "
                    f"{after:.1f} s after the acknowledgement"
                )
            elif backend is not stock:
                broken += 1
                note(
                    f"rule: CONFIG id={request_id} was run by the service before r2, "
                    f"{after:.1f} s after the acknowledgement (bound {CONFIG_APPLY_S})"
                )
    note(f"rule: {broken} requests were handled as only r1 allows")
    return broken == 0


run_case(HERE, play)

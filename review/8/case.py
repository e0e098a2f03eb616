"""CONFIG: after the store returned with an earlier copy, nodes that follow the
changes of a large configuration keep an old version for good.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "parts-2"))

from mesh import Backend, client_call, configuration, route, run_case, wait_for

MACHINES = 8
# The grown deployments: 1,600 routes, and `big_config` adds 1,400.
ROUTES = 1600
MORE_ROUTES = 1400
# `config_storm`: each 0.33 s for 4 s.
STORM = 12
STORM_GAP_S = 0.33
AWAY_S = 0.8
CALM_S = 8.0
BOUNDS = {"configApply": "2500ms", "drain": "2500ms"}
CONFIG_APPLY_S = 2.5
JUDGED_S = 12.0


def fill(name, count):
    return [
        route(f"{name}-{i:04d}", f"/{name}/path/number/{i:05d}/", "safe", "orders")
        for i in range(count)
    ]


def play(make, note, with_trouble):
    mesh = make(BOUNDS)
    services = ["orders", "stock"]
    backends = [Backend(services[i * 2 // MACHINES], note) for i in range(MACHINES)]
    nodes = [mesh.add(backend.service, backend.address) for backend in backends]
    filler = fill("filler", ROUTES)

    def version(number, service):
        routes = [
            route("moved", "/moved/", "safe", service),
            route("added", f"/added-{number}/", "safe", "orders"),
        ]
        return configuration(f"r{number}", routes + filler, services)

    mesh.configure(version(1, "orders"))
    for node in nodes:
        node.start()
    for backend, node in zip(backends, nodes):
        backend.attach(node)
    wait_for(lambda: all(node.is_ready() for node in nodes), 20, "ready nodes")
    time.sleep(5)

    def serves(node, number):
        identity = f"f{number}-{node.name}-{time.monotonic():.3f}"
        return client_call(node, "GET", f"/added-{number}/x", identity) == 200

    mesh.configure(version(2, "orders"))
    wait_for(lambda: all(serves(node, 2) for node in nodes), 15, "version r2")
    earlier = mesh.store.copy()
    note(f"store: this is the later copy, revision={earlier.revision}")
    for number in range(3, 3 + STORM):
        mesh.configure(version(number, "orders"))
        time.sleep(STORM_GAP_S)
    newest = 2 + STORM
    wait_for(lambda: all(serves(node, newest) for node in nodes), 15, "the storm")
    if with_trouble:
        mesh.store.drill(earlier, AWAY_S)
    time.sleep(CALM_S)
    filler += fill("more", MORE_ROUTES)
    mesh.configure(version(20, "stock"))
    acknowledged = time.monotonic()
    time.sleep(CONFIG_APPLY_S + 0.5)
    old = []
    number = 0
    while time.monotonic() < acknowledged + CONFIG_APPLY_S + JUDGED_S:
        for node in nodes:
            number += 1
            sent = time.monotonic() - acknowledged
            status = client_call(node, "GET", "/added-20/x", f"a{number}")
            if status == 404:
                old.append(node.name)
                note(
                    f"rule: CONFIG {node.name} has no route of r20, "
                    f"{sent:.1f} s after its acknowledgement (bound {CONFIG_APPLY_S})"
                )
            client_call(node, "GET", "/moved/x", f"m{number}")
        time.sleep(0.5)
    for backend in backends[: MACHINES // 2]:
        for when, request_id, _, path, *_ in backend.runs:
            if path == "/moved/x" and when > acknowledged + CONFIG_APPLY_S:
                old.append(request_id)
                note(f"rule: CONFIG id={request_id} was run by the service before r20")
    note(f"rule: {len(old)} requests were handled as an older version allows")
    return not old


run_case(HERE, play)

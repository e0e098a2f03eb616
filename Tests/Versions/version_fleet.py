"""Nodes with the settings of the platform, and the operator of the fleet."""
import base64
import json
import pathlib
import random
import re
import time

from judge import Judge, Version
from soak import HOST, SERVICES, Machine, SoakFleet
from store_link import StoreLink

TEMPLATE = (pathlib.Path(__file__).resolve().parents[2] / "platform" /
            "node.ini.template")
# The bounds and limits of the example in the platform's documents.
VALUES = {
    "region": "one", "limits.linkMbps": "1000", "limits.cpuShare": "0.2",
    "limits.memoryMb": "260", "limits.maxFds": "4100", "bounds.grace": "6s",
    "bounds.configApply": "2000ms", "bounds.drain": "2000ms",
    "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "64",
    "bounds.budgetWindow": "10s"}


def fill(template, values):
    """Fills in placeholders; a section stays if its value is given, an inverted
    one if it is not."""
    def choose(match):
        return match[3] if (match[2] in values) == (match[1] == "#") else ""
    text = re.sub(r"\{\{([#^])([\w.]+)\}\}\n(.*?)\{\{/\2\}\}\n", choose,
                  template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: values[match[1]], text)


class VersionMachine(Machine):
    """A node whose connections to the store can go silent one by one."""

    def __init__(self, fleet, index):
        super().__init__(fleet, index)
        link = self.store_link
        self.store_link = StoreLink(link.address, link.target,
                                    random.Random(f"lost {fleet.seed} {index}"))

    def settings(self):
        return fill(TEMPLATE.read_text(), {
            **VALUES, "node": self.name, "service": self.service,
            "zone": f"dc{int(self.name[1:]) % 3}",
            "listen.outbound": self.caller, "listen.inbound": self.data,
            "listen.readyAddr": self.ready, "listen.control": self.announce,
            "provider.address": self.store_link.address,
            "app": self.upstream_link_address})


class VersionFleet(SoakFleet):
    """Machines, and an operator who moves or adds a route in each version."""

    def __init__(self, processes_fleet, seed, count):
        super().__init__(processes_fleet, seed, 0)
        self.seed = seed
        self.operator_random = random.Random(f"operator {seed}")
        self.records = Judge()
        self.records.fleet = self
        self.moves = 0
        self.added = []
        self.machines = [VersionMachine(self, i) for i in range(count)]

    def routes(self):
        """Returns the service of each prefix."""
        routes = {"/read/": SERVICES[0],
                  "/turn/": SERVICES[self.moves % len(SERVICES)]}
        return {**routes, **{prefix: SERVICES[1] for prefix in self.added}}

    def configuration(self):
        def path(prefix, service):
            return {"name": prefix.strip("/"), "prefix": prefix, "kind": "safe",
                    "timeout": "2000ms", "targetLatency": "500ms",
                    "priority": 1, "service": service, "maxAttempts": 2}
        return {
            "version": f"r{self.version}",
            "services": [{"name": name} for name in SERVICES],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                       "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
            "virtualHosts": [{"host": HOST, "paths": [
                path(*route) for route in self.routes().items()]}]}

    async def apply(self):
        self.version += self.operator_random.randint(1, 4)
        if self.operator_random.random() < 0.5:
            self.moves += 1
        else:
            self.added.append(f"/x{self.version}/")
        version = Version(self.version, self.routes())
        self.records.versions.append(version)
        value = json.dumps(self.configuration()).encode()
        put = {"key": "op/config", "value": base64.b64encode(value).decode()}
        answer = await self.store_call(
            "/-/kv-txn", {"expected": [], "puts": [put], "deletes": []})
        if answer is not None and answer.status == 200:
            version.accepted = time.monotonic()

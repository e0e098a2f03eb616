"""Random faults of the way between the nodes and the store."""
import asyncio
import random
import time


class VersionFaults:
    """Injects one random fault after the other; they overlap. What a series
    does depends on its seed alone."""

    def __init__(self, fleet, names):
        self.fleet = fleet
        self.random = random.Random(f"faults {fleet.seed}")
        kinds = [self.watches_of_all, self.watches_of_half, self.watches_of_one,
                 self.answers_lost, self.open_connections, self.store_away]
        self.kinds = [kind for kind in kinds
                      if names == ["all"] or kind.__name__ in names]
        self.log = []

    async def run(self, seconds):
        left = seconds
        tasks = []
        while self.kinds and (pause := self.random.uniform(0.5, 8.0)) < left:
            left -= pause
            await asyncio.sleep(pause)
            fault = self.random.choice(self.kinds)
            self.log.append(f"{time.time():.2f} {fault.__name__}")
            tasks.append(asyncio.create_task(fault()))
        await asyncio.gather(*tasks)

    def some(self):
        """Returns all machines, half of them or one."""
        machines = self.fleet.machines
        count = self.random.choice((len(machines), len(machines) // 2, 1))
        return self.random.sample(machines, count)

    def silence_watches(self, count):
        for machine in self.random.sample(self.fleet.machines, count):
            machine.store_link.silence_watches()

    async def watches_of_all(self):
        self.silence_watches(len(self.fleet.machines))

    async def watches_of_half(self):
        self.silence_watches(len(self.fleet.machines) // 2)

    async def watches_of_one(self):
        self.silence_watches(1)

    async def answers_lost(self):
        machines = self.some()
        for machine in machines:
            machine.store_link.lose_answers(0.4)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        for machine in machines:
            machine.store_link.lose_answers(0.0)

    async def open_connections(self):
        for machine in self.some():
            machine.store_link.silence_open()

    async def store_away(self):
        await self.fleet.store_faults(down=True,
                                      reset=self.random.random() < 0.5)
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await self.fleet.store_faults()

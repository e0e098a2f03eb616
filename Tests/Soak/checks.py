"""What callers and upstreams saw, and the promises that it must keep."""
import time

from backend import body_of

DRAIN_SECONDS = 2.0
DRAIN_SLACK_SECONDS = 0.25
# A promise with a time bound holds for parts without a fault for this long.
CALM_SECONDS = 3.0
APPLY_SECONDS = 2.0
TIMEOUT_SLACK_SECONDS = 0.5
NOT_RUN_STATUSES = {408, 421, 429, 503}


class Records:
    """Collects runs and answers and checks them as they come."""

    def __init__(self):
        self.runs = {}
        self.refused = {}
        self.violations = []
        self.counts = {}
        self.generations = {}
        self.accepted = []

    def fail(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def run(self, request_id, request, backend):
        """An upstream begins to run a request."""
        kind = request.start.split()[1].split("/")[1]
        runs = self.runs.setdefault(request_id, [])
        runs.append(backend.id)
        if kind == "write" and len(runs) > 1:
            self.fail("twice", f"request {request_id} ran at {runs}")
        if request_id in self.refused:
            self.fail("refused", f"request {request_id} ran after a "
                                 f"{self.refused[request_id]}")
        if not request_id:
            self.fail("unasked", "a request without an id ran")
        self._check_drain(request_id, backend)

    def _check_drain(self, request_id, backend):
        acknowledged = backend.leaving_acknowledged
        if acknowledged is None:
            return
        late = time.monotonic() - acknowledged - DRAIN_SECONDS
        if late > DRAIN_SLACK_SECONDS and backend.machine.is_calm():
            self.fail("drain", f"request {request_id} ran at {backend.id} "
                               f"{late:.2f} s after its bound")

    def answer(self, request, answer):
        """A caller got an answer; answer is None if the connection ended."""
        self.count("none" if answer is None else str(answer.status))
        if answer is None or not answer.is_complete:
            self._check_cut(request, answer)
            return
        if not 200 <= answer.status <= 599:
            self.fail("mixed", f"request {request.id} got {answer.status}")
        seal = answer.headers.get("x-response-seal", "")
        if seal and not seal.endswith(request.id):
            self.fail("mixed", f"request {request.id} got the seal {seal}")
        if answer.status == 200:
            if answer.body != body_of(request.id) or not seal:
                self.fail("mixed", f"request {request.id} got another body")
        elif answer.status in NOT_RUN_STATUSES and not seal:
            self.refused[request.id] = answer.status
            if request.kind == "write" and request.id in self.runs:
                self.fail("refused", f"request {request.id} had run and got "
                                     f"{answer.status}")
        elif answer.status == 404:
            self.fail("denied", f"request {request.id} got 404")
        self._check_version(request, answer)
        self._check_time(request)

    def _check_cut(self, request, answer):
        machine = request.machine
        if machine.only_planned_since(request.sent - CALM_SECONDS):
            text = "no answer" if answer is None else "a part of its answer"
            self.fail("lost", f"request {request.id} got {text} from "
                              f"{machine.name}")

    def _check_time(self, request):
        took = time.monotonic() - request.sent
        bound = request.timeout + TIMEOUT_SLACK_SECONDS
        if took > bound and request.machine.is_calm(took):
            self.fail("timeout", f"request {request.id} took {took:.2f} s")

    def _check_version(self, request, answer):
        generation = int(answer.headers.get("teaselhold-generation", "0"))
        machine = request.machine
        known = self.generations.get(request.incarnation, (0, 0.0))
        if generation < known[0] and request.sent > known[1]:
            self.fail("regress", f"{machine.name} went from {known[0]} to "
                                 f"{generation}")
        if generation > known[0]:
            self.generations[request.incarnation] = (
                generation, time.monotonic())
        due = [version for version, when in self.accepted
               if request.sent - when > APPLY_SECONDS]
        is_due = (due and generation < max(due) and machine.is_calm()
                  and machine.fleet.is_store_calm(CALM_SECONDS + APPLY_SECONDS))
        # A process that has just started refuses until it has a version.
        is_start = (generation == 0 and answer.status == 503 and
                    time.monotonic() - machine.started_at < APPLY_SECONDS)
        if is_due and not is_start:
            self.fail("config", f"{machine.name} served version {generation}, "
                                f"{max(due)} was accepted")

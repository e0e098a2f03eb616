"""Judges requests by the rule CONFIG: one that is sent later than the bound
after a version was acknowledged must not be handled as only an older version
allows."""
import time

from checks import APPLY_SECONDS, CALM_SECONDS


class Version:
    """A version that the operator wrote: where it sends each path."""

    def __init__(self, number, routes):
        self.number = number
        self.routes = routes
        self.accepted = None


class Violation:
    """A request that was handled as only an older version allows."""

    def __init__(self, request, version, handling, calm_seconds):
        self.node = request.machine.name
        self.version = version
        self.handling = handling
        self.late_seconds = request.sent - version.accepted
        self.calm_seconds = calm_seconds
        # Whether the handling shows it, and not only the answer's header.
        self.is_visible = False


class Judge:
    """Collects versions, runs and answers, and judges them as they come."""

    def __init__(self):
        self.fleet = None
        self.versions = []
        self.requests = {}
        self.violations = []
        self.judged = 0
        self.statuses = {}

    def sent(self, request):
        self.requests[request.id] = request

    def run(self, request_id, _, backend):
        """An upstream begins to run a request."""
        request = self.requests.get(request_id)
        if request is not None:
            self._judge_service(request, backend.service)

    def answer(self, request, answer):
        """A caller got an answer; answer is None if the connection ended."""
        status = answer.status if answer is not None else "none"
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if answer is not None:
            self._judge_answer(request, answer)
        del self.requests[request.id]

    def _judge_answer(self, request, answer):
        due = self._due(request)
        if due is None:
            return
        self.judged += 1
        if answer.status == 404:
            self._judge_service(request, None)
        generation = int(answer.headers.get("teaselhold-generation", "0"))
        if generation < due.number:
            missed = next(version for version in self.versions
                          if version.accepted and version.number > generation)
            self._fail(request, missed, f"by version {generation}")

    def _judge_service(self, request, service):
        due = self._due(request)
        if due is None:
            return
        allowed = {version.routes.get(request.prefix)
                   for version in self.versions if version.number >= due.number}
        if service not in allowed:
            self._fail(request, due, f"by {service or '404'}", is_visible=True)

    def _due(self, request):
        """Returns the newest version that binds a request; None if none does,
        or if something near its node was disturbed."""
        took = time.monotonic() - request.sent
        if not (request.machine.is_calm(took) and
                self.fleet.is_store_calm(CALM_SECONDS + took)):
            return None
        due = [version for version in self.versions if version.accepted and
               request.sent - version.accepted > APPLY_SECONDS]
        return due[-1] if due else None

    def _fail(self, request, version, handling, is_visible=False):
        if request.is_violation:
            return
        request.is_violation = True
        disturbed = max(request.machine.last_fault(),
                        self.fleet.store_harmed_at)
        violation = Violation(request, version, handling,
                              request.sent - disturbed)
        violation.is_visible = is_visible
        self.violations.append(violation)

"""What the logs of the nodes tell of the way of each version."""
import datetime
import re

IN_FORCE = re.compile(r"Version in force\. generation=(\d+).* source=(\w+)")
OTHER_WAY = re.compile(r"A version came in another way .* generation=(\d+) "
                       r"source=(\w+) watch_milliseconds=(\d+)")
OLDER = "The store shows an older revision than before."
LATE = "[control] Late."


class NodeLog:
    """The lines of a node that tell about versions; times are of the epoch."""

    def __init__(self, path):
        self.in_force = []
        self.watch_waited = {}
        self.older_at = []
        self.late_at = []
        for line in path.read_text(errors="replace").splitlines():
            self._read(line)

    def _read(self, line):
        try:
            when = datetime.datetime.fromisoformat(line.split(" ", 1)[0])
        except ValueError:
            return
        if match := IN_FORCE.search(line):
            self.in_force.append((when.timestamp(), int(match[1]), match[2]))
        elif match := OTHER_WAY.search(line):
            self.watch_waited[int(match[1])] = int(match[3])
        elif OLDER in line:
            self.older_at.append(when.timestamp())
        elif LATE in line:
            self.late_at.append(when.timestamp())

    def arrival(self, number):
        """Returns when and how a version or a newer one came into force, and
        its generation; None if none did."""
        return next((entry for entry in self.in_force if entry[1] >= number),
                    None)

    def hypothesis(self, number, begin):
        """Returns the hypothesis of the page of issue 48 that the lines about a
        late version fit."""
        arrival = self.arrival(number)
        if arrival is None:
            return "never came"
        when, generation, source = arrival
        if generation in self.watch_waited:
            waited = self.watch_waited[generation] / 1000
            return f"1: source={source}, silent watch of {waited:.1f} s"
        if self._was_silent_before(when):
            return f"1: source={source}, a silent watch had ended"
        if any(begin - 10 < moment < when for moment in self.older_at):
            return f"2: source={source}, older revision"
        if any(begin < moment < when + 1 for moment in self.late_at):
            return f"3: source={source}, node without processor time"
        return f"none: source={source}"

    def _was_silent_before(self, when):
        """Tells whether the version before came while a watch was silent."""
        before = [entry for entry in self.in_force if entry[0] < when]
        return bool(before) and before[-1][1] in self.watch_waited

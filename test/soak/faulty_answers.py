"""Faulty answers of endpoints: given twice, late, altered or not whole."""

import asyncio

# Errors that an endpoint or its balancer sends; the last ones fit no
# statement of the proxy.
ERROR_CODES = ["BUSY", "READONLY", "LAGGING", "FAILED", "ABORTED", "TIMEOUT",
               "MALFORMED", "NOSTMT", "WRONGNODE", "OVERLOAD"]
# Longer than the time limit of any route.
LATE_ANSWER_S = (1.3, 2.5)
MAX_SECOND_DELAY_S = 3.0
# Most statements run longer.
MAX_HELD_DELAY_S = 0.01


class AnswerFaults:
    """What an endpoint makes of its answers while a fault is in force.

    An answer is a list of lines without line ends. A whole row is never left
    out of a first answer: the caller could not tell.
    """

    def __init__(self, rng, record):
        self.rng = rng
        # Called with the kind of each fault and a description.
        self.record = record
        self.second_ratio = rng.choice([0.0, 0.02, 0.1, 0.3])
        self.altered_ratio = rng.choice([0.0, 0.5, 1.0])
        self.damaged_ratio = rng.choice([0.0, 0.02, 0.1])
        self.late_ratio = rng.choice([0.0, 0.01, 0.05])
        self.max_delay_s = rng.choice([0.01, 0.05, 0.3, MAX_SECOND_DELAY_S])
        if not self.damaged_ratio and not self.late_ratio:
            self.second_ratio = self.second_ratio or 0.1

    async def send(self, writer, lines, name, held):
        """Sends the answer `lines` to the statement `name`. Adds to `held`
        what is to be sent while the next statement of the connection runs,
        with its delay."""
        if self.rng.random() < self.late_ratio:
            delay_s = self.rng.uniform(*LATE_ANSWER_S)
            self.record("late", f"{name} after {delay_s:.2f} s")
            await asyncio.sleep(delay_s)
        answer = _join(lines)
        if self.rng.random() < self.damaged_ratio:
            answer = self._damage(lines)
            self.record("damaged", f"{name} {answer!r}")
        if self.rng.random() >= self.second_ratio:
            writer.write(answer)
            return
        second = self._alter(lines) \
            if self.rng.random() < self.altered_ratio else _join(lines)
        when = self.rng.choice(["same write", "at once", "later", "held"])
        if when == "same write":
            self.record("second", f"{name} in the same write {second!r}")
            writer.write(answer + second)
            return
        writer.write(answer)
        delay_s = 0.0 if when == "at once" else \
            self.rng.uniform(0, self.max_delay_s)
        if when == "held":
            delay_s = self.rng.uniform(0, MAX_HELD_DELAY_S)
            self.record("held", f"{name} {second!r}")
            held.append((delay_s, second))
            return
        self.record("second", f"{name} after {delay_s:.3f} s {second!r}")
        if when == "at once":
            # Lets the first answer leave in a segment of its own.
            await asyncio.sleep(0)
            _write(writer, second)
        else:
            asyncio.get_running_loop().call_later(
                delay_s, _write, writer, second)

    def _damage(self, lines):
        """Without a line that is no row, or without a whole line end."""
        target = self.rng.randrange(len(lines))
        if not lines[target].startswith("DATAROW") and \
                self.rng.random() < 0.3:
            return _join(lines[:target] + lines[target + 1:])
        end = self.rng.choice(["", "\n", "\r"])
        return _join(lines[:target]) + (lines[target] + end).encode() + \
            _join(lines[target + 1:])

    def _alter(self, lines):
        kind = self.rng.randrange(4)
        if kind == 0:
            code = self.rng.choice(ERROR_CODES)
            return _join([f"ERROR {code} -", lines[-1]])
        if kind == 1:
            return _join(["COMPLETE -", lines[-1]])
        whole = _join(lines)
        return whole[:self.rng.randrange(1, len(whole))]


def release(writer, held):
    """Sends held answers; called when a statement has arrived."""
    for delay_s, data in held:
        asyncio.get_running_loop().call_later(delay_s, _write, writer, data)
    held.clear()


def _write(writer, data):
    if not writer.is_closing():
        writer.write(data)


def _join(lines):
    return "".join(line + "\r\n" for line in lines).encode()

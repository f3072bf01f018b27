"""What the scripts of the cases share: the record, the exit code, the end."""

import asyncio
import os
import signal
import time
import traceback

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    """`run` returns 1 if the rule was broken, 0 if it held, 2 otherwise."""

    def __init__(self, directory):
        self.started = time.monotonic()
        self.lines = open(directory / "record.txt", "w")

    def record(self, text):
        self.lines.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.lines.flush()


async def _run(case):
    # An early end by a signal still stops the processes of the case.
    task = asyncio.create_task(case.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return 2


def main(case):
    try:
        return asyncio.run(_run(case))
    except Exception:  # noqa: BLE001
        traceback.print_exc()
        return 2

"""A part of a prompt crashes each worker that begins to write an answer on it. The prompts are those of long sessions, so that the part stands
behind 66 others. Exits with 1 if more than three requests with the part reach workers later than `stableMs` after the fifth crash, with 0 if
not, with 2 if the case couldn't run."""

import asyncio
import os
import pathlib
import random
import sys
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import deployment  # noqa: E402

SEED = 1
MACHINES = 4
RAM_MB = 520
IS_IN_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTS_BEFORE = int(os.environ.get("PARTS_BEFORE", "66"))
LENGTH_SECONDS = 45
TROUBLE_FROM_SECONDS = 8
DOWN_SECONDS = 3
STABLE_SECONDS = 3
WORKERS = 9
SOUND_PER_SECOND = 60
CRASHING_PER_SECOND = 1
DEADLINE_SECONDS = 8.0
CRASHING_PART = "c0ffee01"
SOUND_PARTS = [f"50a{number:05x}" for number in range(8)]


def prompt(part, own):
    """The parts that the sessions share, the one that differs, and the request's own."""
    entries = [f"5e55{number:04x}:40" for number in range(PARTS_BEFORE)] + [f"{part}:300", f"{own:08x}:200"]
    tokens = 40 * PARTS_BEFORE + 500
    return f"X-Model: m\r\nX-Token-Count: {tokens},100\r\nX-Prompt-Prefix: {','.join(entries)}\r\n"


class Trial:
    def __init__(self):
        self.crashes = []
        self.reached = []  # Seconds at which requests with the part reached workers.
        self.last = 0

    async def run(self, worker, fields, writer):
        now = worker.record.now()
        if f"{CRASHING_PART}:" not in fields["x-prompt-prefix"]:
            return await deployment.run_stream(worker, fields, writer)
        self.reached.append(now)
        worker.record.line("with the part:", fields["x-request-id"], "at", worker.name)
        if not IS_IN_TROUBLE:
            return await deployment.run_stream(worker, fields, writer)
        await asyncio.sleep(0.05)
        writer.write((worker.head(fields, 200, "Content-Type: text/event-stream\r\n") + "Transfer-Encoding: chunked\r\n\r\n").encode())
        await writer.drain()
        if not worker.server.is_serving():
            return False
        self.crashes.append(worker.record.now())
        worker.record.line(worker.name, "crashes, number", len(self.crashes))
        asyncio.create_task(worker.crash(DOWN_SECONDS))
        return False

    async def send(self, site, rate, begin, parts):
        requests = set()
        await asyncio.sleep(max(begin - site.record.now(), 0))
        while site.record.now() < LENGTH_SECONDS:
            self.last += 1
            task = asyncio.create_task(site.request(random.choice(site.machines), "/draft/", DEADLINE_SECONDS, prompt(random.choice(parts), self.last)))
            requests.add(task)
            task.add_done_callback(requests.discard)
            await asyncio.sleep(random.expovariate(rate))
        await asyncio.gather(*requests)

    async def play(self, site):
        workers = [deployment.Worker(site.store, site.record, f"model-{i}", "model-pool", 6, 36, self.run) for i in range(WORKERS)]
        try:
            await site.start(deployment.config([("/draft/", "streaming", "model-pool", 600, 8000, 2, 0)], [("model-pool", 610)]), workers)
            await asyncio.gather(self.send(site, SOUND_PER_SECOND, 0, SOUND_PARTS), self.send(site, CRASHING_PER_SECOND, TROUBLE_FROM_SECONDS, [CRASHING_PART]))
        finally:
            await site.stop()


def main():
    random.seed(SEED)
    site = deployment.Site(FOLDER, MACHINES, RAM_MB)
    trial = Trial()
    try:
        asyncio.run(trial.play(site))
    except Exception:
        traceback.print_exc()
        return 2
    late = [at for at in trial.reached if len(trial.crashes) >= 5 and at > trial.crashes[4] + STABLE_SECONDS]
    print(f"{len(trial.crashes)} crashes; {len(trial.reached)} requests with the part reached workers, {len(late)} of them later than {STABLE_SECONDS} s after the fifth crash; 3 are allowed")
    return 1 if len(late) > 3 else 0


sys.exit(main())

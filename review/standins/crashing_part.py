"""A trial in which one part of a prompt crashes each worker that begins to write an answer on it."""

import asyncio
import dataclasses
import random
import traceback

import deployment

MACHINES = 4
RAM_MB = 520
STABLE_SECONDS = 3
DEADLINE_SECONDS = 8.0
LATE_ALLOWED = 3
SEED = 1
CRASHING_PART = "c0ffee01"
SOUND_PARTS = [f"50a{number:05x}" for number in range(8)]


@dataclasses.dataclass
class Options:
    workers: int
    parts_before: int  # Parts that all requests share, before the one in which they differ.
    sound_per_second: float
    crashing_per_second: float
    crashing_from: float  # Seconds.
    length: float  # Seconds.
    first_event: float  # Seconds from the begin of a sound run to its first event.
    events: int
    event_pause: float  # Seconds.
    crash_after: float  # Seconds from the begin of a run with the part to the crash.
    down: float  # Seconds until the worker is back.


def prompt(options, part, own):
    """The parts that the sessions share, the one that differs, and the request's own."""
    entries = [f"5e55{number:04x}:40" for number in range(options.parts_before)] + [f"{part}:300", f"{own:08x}:200"]
    tokens = 40 * options.parts_before + 500
    return f"X-Model: m\r\nX-Token-Count: {tokens},100\r\nX-Prompt-Prefix: {','.join(entries)}\r\n"


class Trial:
    def __init__(self, options, is_in_trouble):
        self.options = options
        self.is_in_trouble = is_in_trouble
        self.crashes = []  # Seconds.
        self.reached = []  # Seconds at which requests with the part reached workers.
        self.restarts = []  # Tasks of workers that start again.
        self.last = 0

    async def run_sound(self, worker, fields, writer):
        await asyncio.sleep(self.options.first_event)
        return await deployment.run_stream(worker, fields, writer, events=self.options.events, pause=self.options.event_pause)

    async def run(self, worker, fields, writer):
        if f"{CRASHING_PART}:" not in fields["x-prompt-prefix"]:
            return await self.run_sound(worker, fields, writer)
        self.reached.append(worker.record.now())
        worker.record.line("with the part:", fields["x-request-id"], "at", worker.name)
        if not self.is_in_trouble:
            return await self.run_sound(worker, fields, writer)
        await asyncio.sleep(self.options.crash_after)
        writer.write((worker.head(fields, 200, "Content-Type: text/event-stream\r\n") + "Transfer-Encoding: chunked\r\n\r\n").encode())
        await writer.drain()
        if not worker.is_up:
            return False
        worker.is_up = False
        self.crashes.append(worker.record.now())
        worker.record.line(worker.name, "crashes, number", len(self.crashes))
        self.restarts.append(asyncio.create_task(worker.crash(self.options.down)))
        return False

    async def send(self, site, rate, begin, parts):
        """Requests with one of the parts; returns how they ended."""
        requests = []
        await asyncio.sleep(max(begin - site.record.now(), 0))
        while site.record.now() < self.options.length:
            self.last += 1
            fields = prompt(self.options, random.choice(parts), self.last)
            requests.append(asyncio.create_task(site.request(random.choice(site.machines), "/draft/", DEADLINE_SECONDS, fields)))
            await asyncio.sleep(random.expovariate(rate))
        return await asyncio.gather(*requests)

    async def play(self, site):
        options = self.options
        workers = [deployment.Worker(site.store, site.record, f"model-{i}", "model-pool", 6, 36, self.run) for i in range(options.workers)]
        try:
            await site.start(deployment.config([("/draft/", "streaming", "model-pool", 600, 8000, 2, 0)], [("model-pool", 610)]), workers)
            begin = site.record.now()
            sound, _ = await asyncio.gather(self.send(site, options.sound_per_second, begin, SOUND_PARTS),
                self.send(site, options.crashing_per_second, begin + options.crashing_from, [CRASHING_PART]))
            return sound
        finally:
            await site.stop()


def main(record, options, is_in_trouble):
    """Returns 1 if more requests with the part reach workers than the rule allows, 0 if not, 2 if the case couldn't run."""
    random.seed(SEED)
    site = deployment.Site(record, MACHINES, RAM_MB)
    trial = Trial(options, is_in_trouble)
    try:
        sound = asyncio.run(trial.play(site))
    except Exception:
        traceback.print_exc()
        return 2
    late = [at for at in trial.reached if len(trial.crashes) >= 5 and at > trial.crashes[4] + STABLE_SECONDS]
    print(f"{len(trial.crashes)} crashes; {len(trial.reached)} requests with the part reached workers, {len(late)} of them later than {STABLE_SECONDS} s after the fifth crash; {LATE_ALLOWED} are allowed")
    print(f"of {len(sound)} sound requests, {sound.count('200')} were answered whole")
    return 1 if len(late) > LATE_ALLOWED else 0

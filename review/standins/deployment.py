"""Stand-ins of a small deployment: the platform with its store, the workers of its services, and clients.

They speak what the users' pages say. The gateways are the project's own program, started with the command of the deploy file, one
process a machine. A machine is a loopback address of its own, since all machines of a day use the same ports.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS_VARIABLE = "LIMPETPOND_BOOT"
MEMORY_SAMPLE_SECONDS = 0.02
MEGABYTE = 1 << 20
RESTART_DELAY_SECONDS = 1.0
KEY = "key-of-the-tenant"
HOST = "permits.example"


def choose_ips(count):
    """Loopback addresses of their own for the machines, so that several trials can run at the same time."""
    random_source = random.SystemRandom()
    second, third = random_source.randrange(16, 240), random_source.randrange(0, 250)
    return [f"127.{second}.{third}.{number + 1}" for number in range(count)]


def free_ports(ips, count):
    """Ports in a row that are free on all the addresses."""
    random_source = random.SystemRandom()
    for _ in range(200):
        first = random_source.randrange(11000, 30000)  # Below those that the kernel gives to clients.
        held = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        held.append(probe)
                        probe.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
    raise RuntimeError("no free ports")


class Record:
    """What was sent, answered and run, a line each, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """The first line and the header fields, by lowercase names; None where the channel ends first."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Store:
    """The platform's metadata store: rows of tables, transactions and feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, key) to (value or None where dropped, version)
        self.version = 0
        self.changed = asyncio.Event()
        self.begun = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, document):
        """A write of the operator or of a worker; its return is the ack."""
        self.write(table, key, json.dumps(document).encode())

    def write(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        value, version = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "objVer": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def answer(self, document):
        return {**document, "objVer": self.version, "serverTimeMs": int(1000 * (time.monotonic() - self.begun))}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = line.split(" ")
                status, document = await self.call(method, target, body)
                data = json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        words = dict(word.partition("=")[::2] for word in query.split("&") if word)
        table = words.get("table", "")
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            names = sorted(key for (of, key), (value, _) in self.rows.items() if of == table and value is not None)
            return 200, self.answer({"rows": [self.row(table, key) for key in names], "hasMore": False})
        if path == "/v1/rows-feed":
            return await self.feed(table, int(words["after"]), int(words["waitMs"]) / 1000)
        if path == "/v1/rows-tx" and method == "POST":
            transaction = json.loads(body)
            for row in transaction["writes"]:
                self.write(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in transaction["delete"]:
                if (row["table"], row["key"]) in self.rows:
                    self.write(row["table"], row["key"], None)
            return 200, self.answer({})
        return 404, self.answer({})

    async def feed(self, table, after, wait):
        end = time.monotonic() + wait
        while True:
            changes = sorted((version, key) for (of, key), (_, version) in self.rows.items() if of == table and version > after)
            left = end - time.monotonic()
            if changes or left <= 0:
                return 200, self.answer({"rows": [self.row(table, key) for _, key in changes]})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker that runs `slots` requests at the same time and rejects, as not run, what its queue can't hold."""

    def __init__(self, store, record, name, service, slots, queue, run):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.slots = asyncio.Semaphore(slots)
        self.slot_count, self.room = slots, slots + queue
        self.present = 0
        self.run = run  # Writes the answer of a request that runs.
        self.stamps = 0
        self.sequence = 0
        self.channels = set()
        self.port = free_ports(["127.0.0.1"], 1)
        self.is_up = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.is_up = True
        self.address = f"127.0.0.1:{self.port}"
        self.born = int(time.time() * 1000)
        self.report("ready")

    async def crash(self, down_seconds):
        """The process ends at once, and starts again under the id and at the address that it had."""
        self.is_up = False
        self.server.close()
        for channel in self.channels:
            channel.transport.abort()
        await asyncio.sleep(down_seconds)
        self.sequence = 0
        await self.start()

    def report(self, state):
        self.sequence += 1
        self.store.put("servers", self.name, {"service": self.service, "addr": self.address, "zone": "zone-1", "version": 1, "slots": self.slot_count,
            "state": state, "coldLeftMs": 0, "seq": self.sequence, "born": self.born})

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                _, fields = head
                await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self.answer(fields, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def head(self, fields, status, extra=""):
        self.stamps += 1
        return f"HTTP/1.1 {status} X\r\nX-Request-Id: {fields['x-request-id']}\r\nX-Server-Stamp: {self.name}.{self.stamps}\r\n{extra}"

    async def answer(self, fields, writer):
        """False where the channel can't be used any more."""
        if fields.get("x-expect-instance", self.name) != self.name or self.present >= self.room:
            status = 421 if fields.get("x-expect-instance") != self.name else 503
            writer.write((self.head(fields, status, "X-Not-Run: 1\r\n") + "Content-Length: 0\r\n\r\n").encode())
            await writer.drain()
            return True
        self.present += 1
        try:
            async with self.slots:
                self.record.line("run", fields["x-request-id"], "at", self.name)
                return await self.run(self, fields, writer)
        finally:
            self.present -= 1


async def run_stream(worker, fields, writer, events=20, pause=0.02):
    """A sound stream of events."""
    writer.write((worker.head(fields, 200, "Content-Type: text/event-stream\r\n") + "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(1, events + 1):
        await asyncio.sleep(pause)
        event = f"id: {number}\ndata: {worker.name} {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def run_call(worker, fields, writer, work=0.06):
    """A sound answer of a plain service."""
    await asyncio.sleep(work)
    body = b"x" * 800
    writer.write((worker.head(fields, 200) + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    await writer.drain()
    return True


class Machine:
    """One machine of the system: its address, its settings file and its process, which the platform starts again when it ends."""

    def __init__(self, site, number):
        self.site, self.number = site, number
        self.name = f"front-{number}"
        self.ip = site.ips[number]
        self.process = None
        self.kills = []  # Seconds at which the platform killed the process for its memory.
        self.exits = []  # Seconds at which it ended by itself.
        self.peak = 0

    def settings(self):
        site, port = self.site, self.site.port
        return {"node": self.name, "role": "gateway", "class": "front", "serves": ["front", "control"], "ip": self.ip, "zone": "zone-1", "region": "region-1",
            "zones": {"zone-1": "region-1"}, "listen": {"front": f"{self.ip}:{port}", "ready": f"{self.ip}:{port + 1}", "control": f"{self.ip}:{port + 2}"},
            "portRange": [port + 3, port + 6], "seeds": [f"{ip}:{port + 2}" for ip in site.ips[:3]], "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "ramMb": site.ram_mb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}, "dataDir": None,
            "discovery": "platform", "entry": "vip", "heartbeatMs": 1200, "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000, "catchupS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
                "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": False, "revokeMs": 5000, "budgetRatio": 0.2,
                "budgetWindowS": 10, "budgetSlack": 52, "quotaWindowS": 8, "quotaExcess": 0.1, "quotaSlack": 190000, "recoveryS": 12, "eventLagMs": 120,
                "retryAfterS": 10},
            "platform": {"addr": f"127.0.0.1:{site.store.port}", "form": "table", "writesPerS": 400, "readsPerS": 2000, "txnMs": 3.0, "partWritesS": 300,
                "maxRowBytes": 65536, "crossRegion": True, "retentionS": 20}}

    async def start(self):
        path = pathlib.Path(self.site.folder) / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings()))  # JSON is YAML.
        command = self.site.command
        self.process = await asyncio.create_subprocess_exec(str(ROOT / command[0]), *command[1:], cwd=ROOT, stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL, env={"PATH": os.environ.get("PATH", ""), "HOME": self.site.folder, SETTINGS_VARIABLE: str(path)})

    def memory(self):
        """Resident bytes of the process."""
        try:
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")

    async def watch(self):
        """What the platform does for a machine: it kills a process over its memory, and starts one that has ended again."""
        while not self.site.stopping:
            await asyncio.sleep(MEMORY_SAMPLE_SECONDS)
            used = self.memory()
            self.peak = max(self.peak, used)
            if self.process.returncode is None and used <= self.site.ram_mb * MEGABYTE:
                continue
            if self.process.returncode is None:
                self.process.kill()
                self.kills.append(self.site.record.now())
                self.site.record.line("platform kills", self.name, f"which uses {used // MEGABYTE} MB of {self.site.ram_mb}")
            else:
                self.exits.append(self.site.record.now())
                self.site.record.line(self.name, "ended by itself, code", self.process.returncode)
            await self.process.wait()
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            if not self.site.stopping:
                await self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.site.port + 1)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Site:
    """The whole deployment. `machines` processes of the project are started; `record` is the path of what was sent, answered and run."""

    def __init__(self, record, machines, ram_mb):
        self.record = Record(record)
        self.ips = choose_ips(machines)
        self.port = free_ports(self.ips, 8)
        self.ram_mb = ram_mb
        self.store = Store(self.record)
        self.workers = []
        self.stopping = False
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        with open(ROOT / "deploy/system.toml", "rb") as file:
            (role,) = tomllib.load(file)["roles"].values()
        self.command = role["run"].split(" ")
        self.machines = [Machine(self, number) for number in range(machines)]
        self.tasks = []
        self.last_id = 0

    async def start(self, config, workers):
        await self.store.start()
        self.store.put("op", "config", config)
        for worker in workers:
            self.workers.append(worker)
            await worker.start()
        for machine in self.machines:
            await machine.start()
        self.tasks += [asyncio.create_task(machine.watch()) for machine in self.machines]
        end = time.monotonic() + 10
        while not all([await machine.is_ready() for machine in self.machines]):
            if time.monotonic() > end or any(machine.exits for machine in self.machines):
                raise RuntimeError("the machines didn't become ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        """Ends the processes that were started, by their ids."""
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGKILL)
                await machine.process.wait()
        self.record.close()
        self.temporary.cleanup()

    async def request(self, machine, prefix, deadline, fields=""):
        """One client attempt on a new channel; the status, or a word for how it ended, is recorded and returned."""
        self.last_id += 1
        name = f"r{self.last_id:06d}"
        self.record.line("sent", name, prefix, "to", machine.name)
        try:
            status = await asyncio.wait_for(self.exchange(machine, prefix, deadline, fields, name), deadline + 0.5)
        except asyncio.TimeoutError:
            status = "gave-up"
        except (OSError, asyncio.IncompleteReadError):
            status = "no-channel"
        self.record.line("answered", name, status)
        return status

    async def exchange(self, machine, prefix, deadline, fields, name):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, self.port), 1)
        try:
            writer.write((f"POST {prefix}x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\nX-Deadline-Ms: {int(deadline * 1000)}\r\n"
                f"Authorization: Token {KEY}\r\n{fields}Content-Length: 2\r\nConnection: close\r\n\r\n{{}}").encode())
            head = await read_head(reader)
            if head is None:
                return "closed"
            body = await reader.read(-1)
            status = head[0].split(" ")[1]
            if head[1].get("transfer-encoding") == "chunked":
                return status if body.endswith(b"0\r\n\r\n") else "cut"
            return status if len(body) == int(head[1].get("content-length", 0)) else "cut"
        finally:
            writer.close()


def config(routes, services):
    """A desired state. Routes: (prefix, kind, service, goal ms, timeout ms, attempts, priority)."""
    return {"version": 7,
        "routes": [{"name": prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "goalMs": goal, "priority": priority,
            "service": service, "attempts": attempts, "public": False, "sticky": kind == "streaming", "resumable": False, "gapTargetMs": 400}
            for prefix, kind, service, goal, timeout, attempts, priority in routes],
        "services": [{"name": name, "healthPath": "/healthz", "maxConns": channels, "proto": "h1", "tls": False} for name, channels in services],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1, "perS": 0, "burst": 0}]}

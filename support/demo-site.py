"""Runs the site of support/demo: fakes, four daemons, callers of each tier and both kinds."""

import argparse
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

ENGINES = 3
DAEMONS = 4
REQUESTS = 240
LEAVING_TARGET = "engine-1"
READY_TIMEOUT_SECONDS = 30
STOP_TIMEOUT_SECONDS = 10
PEER_SECRET = "peer-secret-of-the-demo"
OPERATOR_SECRET = "operator-secret-of-the-demo"
TIERS = {"urgent": 3, "standard": 2, "batch": 1}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def fetch(port, path, body=None, headers=None):
    """Returns the status and the body; status 0 where there was no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=data, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


class Site:
    """The programs that the demo started; each is stopped by its own id."""

    def __init__(self, build):
        self.build = build
        self.fakes = []
        self.daemons = []
        self.caller_ports = []
        self.peer_ports = []

    def start(self, program, flags, ports):
        process = subprocess.Popen([f"{self.build}/{program}", *flags], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        self.fakes.append(process)
        return [int(process.stdout.readline()) for _ in range(ports)]

    def start_fakes(self):
        self.table, self.platform = self.start("fake-platform", [], 2)
        # The engines differ: each is slower than the one before.
        self.engines = [self.start("fake-engine", [f"--decode_rate={120 - 30 * i}", f"--prefill_rate={12000 - 3000 * i}"], 1)[0] for i in range(ENGINES)]
        (self.service,) = self.start("fake-service", ["--delay_ms=20"], 1)

    def start_daemons(self):
        instances = []
        for number in range(1, DAEMONS + 1):
            caller, peer = free_port(), free_port()
            flags = [
                f"--instance_id=i{number}",
                f"--failure_domain=domain-{number % 3 + 1}",
                f"--caller_port={caller}",
                f"--peer_port={peer}",
                f"--table_endpoint=127.0.0.1:{self.table}",
                f"--object_store_endpoint=127.0.0.1:{self.platform}",
                f"--instance_list_endpoint=127.0.0.1:{self.platform}",
            ]
            secrets = {"LIMPETPOND_PEER_SECRET": PEER_SECRET, "LIMPETPOND_OPERATOR_SECRET": OPERATOR_SECRET}
            process = subprocess.Popen([f"{self.build}/limpetpondd", *flags], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, env={**os.environ, **secrets})
            self.daemons.append(process)
            self.caller_ports.append(caller)
            self.peer_ports.append(peer)
            instances.append({"instance": f"i{number}", "port": peer})
        fetch(self.platform, "/_control/instances", {"instances": instances})

    def tool(self, *words, stdin=None):
        instances = ",".join(f"127.0.0.1:{port}" for port, daemon in zip(self.peer_ports, self.daemons) if daemon.poll() is None)
        environment = {**os.environ, "LIMPETPOND_INSTANCES": instances, "LIMPETPOND_OPERATOR_SECRET": OPERATOR_SECRET}
        return subprocess.run([f"{self.build}/limpetpond", *words], input=stdin, capture_output=True, text=True, env=environment)

    def settings(self):
        branches = {
            "pool/drafts": {"kind": "model_engine", "models": ["draft"]},
            "pool/fees": {"kind": "plain_service", "service": "fees", "nonIdempotentMethods": ["POST"]},
            "target/fees-1": {"pool": "fees", "host": "127.0.0.1", "port": self.service},
        }
        for number, port in enumerate(self.engines, 1):
            branches[f"target/engine-{number}"] = {"pool": "drafts", "host": "127.0.0.1", "port": port}
        for tier, level in TIERS.items():
            branches[f"tier/{tier}"] = {"level": level}
            branches[f"account/{tier}-account"] = {"tier": tier, "keyHashes": [hashlib.sha256(f"key-{tier}".encode()).hexdigest()]}
        return branches

    def seed(self):
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while True:
            done = self.tool("settings", "import", "-", stdin=json.dumps(self.settings()))
            if done.returncode == 0:
                return
            if time.monotonic() > deadline:
                raise RuntimeError(f"the settings can't be imported: {done.stdout}{done.stderr}")
            time.sleep(0.2)

    def wait_until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        headers = {"Authorization": "Bearer key-urgent"}
        for port in self.caller_ports:
            while fetch(port, "/readyz")[0] != 200 or "draft" not in fetch(port, "/v1/models", headers=headers)[1]:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"the daemon at port {port} isn't ready")
                time.sleep(0.1)

    def started_at(self, engine):
        return json.loads(fetch(self.engines[engine], "/_stats")[1])["started"]

    def stop(self):
        for daemon in self.daemons:
            if daemon.poll() is None:
                daemon.send_signal(signal.SIGTERM)
        for daemon in self.daemons:
            try:
                daemon.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                daemon.kill()
                daemon.wait()
        for process in self.fakes:
            process.kill()
            process.wait()


def start_load(site):
    entries = ",".join(f"127.0.0.1:{port}" for port in site.caller_ports)
    keys = ",".join(f"key-{tier}" for tier in TIERS)
    flags = [f"--entries={entries}", f"--keys={keys}", f"--requests={REQUESTS}", "--service=fees", "--concurrency=24", "--print_records"]
    process = subprocess.Popen([f"{site.build}/fake-load", *flags], stdout=subprocess.PIPE, text=True)
    site.fakes.append(process)
    return process


def read_records(load, records, count):
    """Reads records until there are `count`, and returns the summary once it comes."""
    while len(records) < count:
        line = json.loads(load.stdout.readline())
        if "sent" in line:
            return line
        records.append(line)
    return None


def run(site, kill_one, timeline):
    site.start_fakes()
    site.start_daemons()
    print(f"{DAEMONS} daemons, {ENGINES} engines and 1 service started")
    site.seed()
    site.wait_until_ready()
    print("settings imported, all daemons ready")

    records = []
    load = start_load(site)
    read_records(load, records, REQUESTS // 6)
    if kill_one:
        site.daemons[1].kill()
        site.daemons[1].wait()
        print("one daemon killed")
    read_records(load, records, REQUESTS // 3)
    left = site.tool("target", "leave", LEAVING_TARGET, "--wait", "--timeout", "60s")
    is_empty = left.returncode == 0
    started = site.started_at(0)
    print((left.stdout + left.stderr).strip())
    summary = read_records(load, records, sys.maxsize)
    new_work = site.started_at(0) - started
    print(site.tool("target", "status", LEAVING_TARGET).stdout.strip())
    print(f"{LEAVING_TARGET}: empty {is_empty}, new work after that {new_work}")
    for tier in TIERS:
        print(f"tier {tier}: {summary['by_key'].get(f'key-{tier}')}")
    for record in records:
        if record["told"] != "completed":
            print(f"not completed: {record['kind']} {record['told']} {record['reason']}")
    if timeline:
        page = site.tool("timeline", "--html", "--output", timeline)
        print(f"time line written to {timeline}" if page.returncode == 0 else page.stderr.strip())
    doubled = json.loads(fetch(site.service, "/_runs")[1])["doubled"]
    result = {name: summary[name] for name in ("sent", "completed", "not_run", "unknown", "mismatched")}
    result["doubled"] = doubled
    result["target_empty"] = is_empty
    one_outcome_each = len(records) == summary["sent"]
    whole = kill_one or result["completed"] == result["sent"]
    good = one_outcome_each and whole and is_empty and not new_work and not doubled and not result["mismatched"]
    return result, good


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--started", type=float, required=True)
    parser.add_argument("--kill-one", action="store_true")
    parser.add_argument("--timeline", help="the file for the time line of all processes, as an HTML page")
    arguments = parser.parse_args()
    site = Site(arguments.build)
    try:
        result, good = run(site, arguments.kill_one, arguments.timeline)
    finally:
        site.stop()
    result["seconds"] = round(time.time() - arguments.started, 1)
    print(json.dumps(result))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())

"""Stand-ins for the scripts of the second review: the platform's key-value
store, runners and clients, and the real programs as separate processes.

Needs Python 3 with its standard library only. Everything is on loopback: each
machine has an address of its own in 127.0.0.0/8, so that all machines can use
the same ports, as on the platform.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MAX_HOLD_MS = 1000
STOP_MS = 50
HEARTBEAT_MS = 1500
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
ZONES = ["zona-norte", "zona-sur", "zona-oriente", "zona-poniente"]


class CannotRun(Exception):
    """The case could not be played; run.sh ends with 2."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%9.3f  %s\n" % (self.now(), text))
        self.file.flush()


class HttpServer:
    """A small HTTP/1.1 server with keep-alive; `handle` returns (status, dict)
    or None to leave the request without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=512)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message["first"].split(" ", 2)
                answer = await self.handle(method, target, message["headers"], message["body"])
                if answer is None:
                    continue
                status, body = answer
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (status, len(data), data)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()


async def read_message(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif int(headers.get("content-length", 0)) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return {"first": lines[0], "headers": headers, "body": body}


async def http(ip, port, method, path, body=None, headers=None, timeout=5.0, source=None):
    """One request on a connection of its own, from the address `source` if one
    is given. Returns (status, text); the status is 0 if there was no whole
    answer."""
    writer = None
    try:
        local = (source, 0) if source else None
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port, local_addr=local), timeout)
        data = b"" if body is None else json.dumps(body).encode()
        lines = ["%s %s HTTP/1.1" % (method, path)]
        fields = {"Host": ip, "Content-Length": str(len(data)), "Content-Type": "application/json"}
        fields.update(headers or {})
        lines += ["%s: %s" % item for item in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        message = await asyncio.wait_for(read_message(reader), timeout)
        if message is None:
            return 0, ""
        return int(message["first"].split(" ")[1]), message["body"].decode("utf-8", "replace")
    except (OSError, asyncio.TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, ""
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.address = None
        # Answers a call instead of the store, or returns NotImplemented.
        self.intercept = None

    async def start(self, ip):
        self.address = (ip, await self.http.start(ip, 0))

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value.encode()).decode(),
            "revision": self.revision,
            "created": created,
            "lease_id": lease,
        }
        self.events.append(dict(self.items[key]))
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self):
        now = time.monotonic()
        for lease in [i for i, (_, until) in self.leases.items() if until < now]:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item["lease_id"] == lease]:
                self.remove(key)

    async def handle(self, method, target, headers, body):
        if self.intercept is not None:
            answer = await self.intercept(method, target, headers, body)
            if answer is not NotImplemented:
                return answer
        self.expire_leases()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, at_rev=self.revision)) if item else (404, {"at_rev": self.revision})
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {
                "items": [self.items[k] for k in keys[:500]],
                "has_more": len(keys) > 500,
                "at_rev": self.revision,
            }
        if path == "/api/kv-watch":
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [
                    e
                    for e in self.events
                    if e["key"].startswith(query["prefix"]) and e["revision"] > int(query["after"])
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
                except asyncio.TimeoutError:
                    self.expire_leases()
        if path == "/api/kv-txn":
            request = json.loads(body)
            for row in request.get("expect", []):
                if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                    return 412, {"items": [self.items[r["key"]] for r in request["expect"] if r["key"] in self.items]}
            for row in request.get("puts", []):
                lease = row.get("lease_id", 0)
                if lease and lease not in self.leases:
                    return 404, {}
            for row in request.get("puts", []):
                self.put(row["key"], base64.b64decode(row["value"]).decode(), row.get("lease_id", 0))
            for key in request.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        if path == "/api/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease_id": lease, "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/api/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if self.leases.pop(lease, None) is None:
                return 404, {}
            for key in [k for k, item in self.items.items() if item["lease_id"] == lease]:
                self.remove(key)
            return 200, {}
        return 404, {}


class Proxy:
    """Stands between a process and the store. While it is cut it passes nothing
    on, in either direction, and neither resets nor answers; what it holds is
    passed on afterwards, as after a partition."""

    def __init__(self, target):
        self.target = target
        self.server = None
        self.open = asyncio.Event()
        self.open.set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, backlog=512)
        return ip, self.server.sockets[0].getsockname()[1]

    def cut(self, is_cut):
        if is_cut:
            self.open.clear()
        else:
            self.open.set()

    async def serve(self, reader, writer):
        other = None
        try:
            await self.open.wait()
            other_reader, other = await asyncio.open_connection(*self.target)
            await asyncio.gather(self.pump(reader, other), self.pump(other_reader, writer))
        except (ConnectionError, OSError):
            pass
        finally:
            for stream in (writer, other):
                if stream is not None:
                    stream.close()

    async def pump(self, reader, writer):
        while True:
            data = await reader.read(65536)
            await self.open.wait()
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()


class Run:
    def __init__(self, task, number, spec, began):
        self.task, self.number, self.spec, self.began = task, number, spec, began
        self.ended = None
        self.how = None


class Runner:
    """A runner, as PROTOCOL.md describes it. A task_spec of `ms=N` runs for N ms.
    It does not guard its capacity (`admission_check` is false)."""

    def __init__(self, rig, name, ip, zone, cpu):
        self.rig, self.name, self.ip, self.zone, self.cpu = rig, name, ip, zone, cpu
        self.http = HttpServer(self.handle)
        self.port = None
        self.runner_id = "i-%08x" % random.getrandbits(32)
        self.control = None
        self.state = "ready"
        self.kind = "a"
        # All runs of all lives, for the checks.
        self.history = []
        # Answers a call instead of the runner, or returns NotImplemented.
        self.intercept = None
        self.beats = None
        self.beat_extra = {}
        self.sequence = 0
        self.reset()

    def reset(self):
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.runs = {}
        self.ends = []
        self.end_number = 0
        self.highest_ended = {}
        self.sequence = 0
        self.changed = asyncio.Event()

    def crash(self):
        """Everything that runs ends unseen; what follows is a new life."""
        for run in list(self.runs.values()):
            run.ended, run.how = time.monotonic(), "crash"
        self.runs = {}
        self.http.reset_connections()
        self.reset()

    def go_down(self):
        """Crashes and listens no more."""
        if self.beats:
            self.beats.cancel()
        self.http.server.close()
        self.crash()

    async def come_back(self):
        """Begins a new life under the same id, at the same address."""
        self.reset()
        await self.http.start(self.ip, self.port)

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000) + 1

    async def start(self):
        self.port = await self.http.start(self.ip, 0)
        self.task = asyncio.ensure_future(self.watch_leases())

    def begin_beats(self):
        self.beats = asyncio.ensure_future(self.send_beats())

    def beat_body(self):
        self.sequence += 1
        body = {
            "service": SERVICE,
            "address": "%s:%d" % (self.ip, self.port),
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
            "labels": [self.kind, "r1-1"],
            "clock_ms": self.clock(),
            "born": self.born,
            "seq": self.sequence,
        }
        body.update(self.beat_extra)
        return body

    async def send_beat(self, body=None):
        body = body or self.beat_body()
        status, _ = await http(*self.control, "PUT", "/api/instances/" + self.runner_id, body, timeout=1.0, source=self.ip)
        self.rig.record("beat %s seq %s state %s -> %s" % (self.name, body.get("seq"), body.get("state"), status))
        return status

    async def send_beats(self):
        while True:
            await self.send_beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def watch_leases(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and self.clock() >= self.deadline:
                for key in list(self.runs):
                    self.end(key, "lapsed")

    def end(self, key, how):
        run = self.runs.pop(key, None)
        if run is None:
            return
        run.ended, run.how = time.monotonic(), how
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.number, how, ""])
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.number)
        self.rig.record("end %s %s run %d %s" % (self.name, run.task, run.number, how))
        self.changed.set()
        self.changed = asyncio.Event()

    def grant(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + MAX_HOLD_MS))

    async def handle(self, method, target, headers, body):
        if self.intercept is not None:
            answer = await self.intercept(method, target, headers, body)
            if answer is not NotImplemented:
                return answer
        return await self.execute(target, headers, body)

    async def execute(self, target, headers, body):
        if headers.get("target-instance", self.runner_id) != self.runner_id:
            return 421, {"clock_ms": self.clock()}
        request = json.loads(body)
        token = request.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/api/run-start":
            return self.run_start(request)
        if target == "/api/run-stop":
            return await self.run_stop(request)
        if target == "/api/hold":
            return await self.hold(request)
        return 400, {"clock_ms": self.clock()}

    def run_start(self, request):
        task, number = request["task_id"], request["run_id"]
        if (task, number) in self.runs:
            return 200, {"clock_ms": self.clock()}
        if request["deadline_ms"] <= self.clock():
            self.rig.record("start %s %s run %d -> late" % (self.name, task, number))
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.grant(request["deadline_ms"])
        if number <= self.highest_ended.get(task, 0):
            self.rig.record("start %s %s run %d -> old" % (self.name, task, number))
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        run = Run(task, number, request["task_spec"], time.monotonic())
        self.runs[(task, number)] = run
        self.history.append(run)
        self.rig.record("start %s %s run %d" % (self.name, task, number))
        fields = dict(f.split("=") for f in run.spec.split(";") if "=" in f)
        life = self.born
        loop = asyncio.get_event_loop()
        loop.call_later(float(fields.get("ms", "50")) / 1000, self.finish, life, (task, number))
        return 200, {"clock_ms": self.clock()}

    def finish(self, life, key):
        if life == self.born:
            self.end(key, "done")

    async def run_stop(self, request):
        task, number = request["task_id"], request["run_id"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        self.rig.record("stop %s %s run %d" % (self.name, task, number))
        self.end((task, number), "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, request):
        if request.get("deadline_ms"):
            self.grant(request["deadline_ms"])
        self.ends = [e for e in self.ends if e[0] > request.get("acked_upto", 0)]
        until = time.monotonic() + request.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        return 200, {
            "clock_ms": self.clock(),
            "born": self.born,
            "running": [[r.task, r.number, "", 50, 100] for r in self.runs.values()],
            "ended": self.ends[:500],
        }


class Process:
    """One of the project's programs, started with a command of the deploy file."""

    def __init__(self, rig, name, command, settings):
        self.rig, self.name, self.command, self.settings = rig, name, command, settings
        self.path = os.path.join(rig.folder, name + ".conf")
        self.log_path = os.path.join(rig.folder, name + ".log")
        self.process = None

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(self.settings)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": self.rig.folder,
            "COMFREYSHIFT_SETTINGS": self.path,
        }
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self.command), cwd=REPO, env=environment, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.rig.record("process %s started" % self.name)

    def signal(self, number):
        self.rig.record("process %s gets signal %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def exit_code(self):
        return self.process.returncode


def deploy_commands():
    """The commands of deploy/system.toml, by role."""
    commands, role = {}, None
    with open(os.path.join(REPO, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            line = line.strip()
            if line.startswith("[roles."):
                role = line[len("[roles."):-1]
            elif line.startswith("run =") and role:
                commands[role] = line.split("=", 1)[1].strip().strip('"')
    return commands


class Rig:
    """A small deployment: entries, and agents with a runner each."""

    def __init__(self, record_path, entries=2, agents=3, cpu=64000, has_proxies=False, runner_class=None):
        # Proxies between the processes and the store, by the process's name.
        self.has_proxies = has_proxies
        self.runner_class = runner_class or Runner
        self.proxies = {}
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="comfreyshift-review-")
        self.count = (entries, agents)
        self.cpu = cpu
        self.store = Store()
        self.entries, self.agents, self.runners = [], [], []
        self.net = "127.%d.%d" % (random.randint(16, 250), random.randint(1, 250))
        self.version = 10
        self.next_job = random.getrandbits(60) << 4

    def free_ports(self, ip, count):
        sockets = []
        for _ in range(count):
            s = socket.socket()
            s.bind((ip, 0))
            sockets.append(s)
        ports = [s.getsockname()[1] for s in sockets]
        for s in sockets:
            s.close()
        return ports

    async def store_address(self, name, ip):
        """Where the process `name` finds the store."""
        if not self.has_proxies:
            return self.store.address
        self.proxies[name] = Proxy(self.store.address)
        return await self.proxies[name].start(ip)

    def settings(self, name, ip, zone, role, store, lines):
        host, port = store
        fields = [
            "node_name=" + name, "role=" + role, "machine_class=" + role, "serves=" + role,
            "ip=" + ip, "zone=" + zone, "region=valle-centro",
            "seeds=", "bootstrap=true", "heartbeat_ms=%d" % HEARTBEAT_MS,
            "limits.memory_mb=%d" % (260 if role == "frontend" else 128), "limits.max_fds=4096",
            "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6",
            "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.evacuate_ms=5000",
            "bounds.max_hold_ms=%d" % MAX_HOLD_MS, "bounds.stop_ms=%d" % STOP_MS,
            "bounds.cancel_ms=3000", "bounds.remote_factor=1.5", "bounds.retransmit_ms=1300",
            "orders=invoke", "platform.address=%s:%d" % (host, port), "platform.form=kv",
            "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
            "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
        ]
        return "\n".join(fields + lines) + "\n"

    async def start(self):
        commands = deploy_commands()
        program = os.path.join(REPO, commands["entry"].split()[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("%s is missing: run the build of deploy/system.toml" % program)
        await self.store.start(self.net + ".1")
        entries, agents = self.count
        for i in range(agents):
            ip = "%s.%d" % (self.net, 100 + i)
            zone = ZONES[i % len(ZONES)]
            control, link = self.free_ports(ip, 2)
            runner = self.runner_class(self, "runner-%d" % i, ip, zone, self.cpu)
            await runner.start()
            runner.control = (ip, control)
            self.runners.append(runner)
            lines = [
                "listen.control=%s:%d" % (ip, control), "port_range=%d,%d" % (link, link + 1),
                "app=%s:%d" % self.runner_address(runner), "service=" + SERVICE,
            ]
            store = await self.store_address("agent-%d" % i, ip)
            settings = self.settings("side-%s-%d" % (zone, i), ip, zone, "side", store, lines)
            self.agents.append(Process(self, "agent-%d" % i, commands["agent"], settings))
        for i in range(entries):
            ip = "%s.%d" % (self.net, 10 + i)
            zone = ZONES[i % len(ZONES)]
            front, ready, link = self.free_ports(ip, 3)
            lines = [
                "listen.front=%s:%d" % (ip, front), "listen.ready_addr=%s:%d" % (ip, ready),
                "port_range=%d,%d" % (link, link + 1),
            ]
            store = await self.store_address("entry-%d" % i, ip)
            settings = self.settings("frontend-%s-%d" % (zone, i), ip, zone, "frontend", store, lines)
            entry = Process(self, "entry-%d" % i, commands["entry"], settings)
            entry.front, entry.ready = (ip, front), (ip, ready)
            self.entries.append(entry)
        self.write_config()
        for process in self.agents + self.entries:
            await process.start()
        for runner in self.runners:
            runner.begin_beats()
        await self.wait_ready()

    def runner_address(self, runner):
        """Where an agent finds its runner; a proxy may stand in between."""
        return (runner.ip, runner.port)

    def write_config(self, **changes):
        self.version += 3
        route = {
            "name": "ruta", "hostname": HOST, "prefix": PREFIX, "service": SERVICE, "priority": 1,
            "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 60,
        }
        route.update(changes)
        config = {
            "version": self.version, "routes": [route],
            "services": [{"name": SERVICE, "admission_check": False}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("op/config", json.dumps(config))
        self.record("operator writes configuration %d" % self.version)

    async def is_ready(self, entry):
        status, _ = await http(*entry.ready, "GET", "/api/readyz", timeout=1.0)
        return status == 200

    async def wait_ready(self, limit=15.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all([await self.is_ready(entry) for entry in self.entries]):
                # Every runner is in use once a wide job has run on all of them.
                job = await self.submit(self.entries[0], 50, tasks=8 * len(self.runners), cpu=7000)
                used = all(any(r.how == "done" for r in runner.history) for runner in self.runners)
                if job[0] == 200 and used:
                    self.record("the deployment is ready")
                    return
            await asyncio.sleep(0.25)
        raise CannotRun("the deployment did not become ready")

    def new_job(self):
        self.next_job = (self.next_job + 0x9E3779B97F4A7C15) & (2**64 - 1)
        return "%016x" % self.next_job

    async def submit(self, entry, run_ms, tasks=1, cpu=1000, job=None, deadline_ms=1500, headers=None):
        job = job or self.new_job()
        body = {
            "task_spec": "ms=%d" % run_ms, "best_effort": True,
            "steps": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "est_runtime_ms": run_ms}],
        }
        fields = {"Host": HOST, "Deadline-Remaining": str(deadline_ms)}
        fields.update(headers or {})
        began = self.record.now()
        self.record("client sends job %s to %s" % (job, entry.name))
        status, text = await http(*entry.front, "POST", PREFIX + job, body, fields, deadline_ms / 1000)
        self.record("client gets %s for job %s (sent at %.3f) %s" % (status or "no answer", job, began, text[:120]))
        return status, text, job

    def runs(self):
        """All runs on all runners, with the runner's name."""
        return [(runner, run) for runner in self.runners for run in runner.history]

    def log(self, process):
        with open(process.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    async def stop(self):
        for process in self.entries + self.agents:
            await process.kill()
        for runner in self.runners:
            if runner.beats:
                runner.beats.cancel()
            runner.task.cancel()
        for path in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, path))
        os.rmdir(self.folder)


def overlaps(rig):
    """Pairs of runs of one task that were at work at the same time."""
    now = time.monotonic()
    by_task = {}
    for runner, run in rig.runs():
        by_task.setdefault(run.task, []).append((run.began, run.ended or now, run.number, runner.name))
    found = []
    for task, runs in by_task.items():
        runs.sort()
        for first, second in zip(runs, runs[1:]):
            if second[0] < first[1]:
                found.append((task, first, second))
    return found


def main(case, record_path, **options):
    """Plays `case(rig, trouble)`, which returns a list of broken rules."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        rig = Rig(record_path, **options)
        try:
            await rig.start()
            broken = await case(rig, trouble)
            for line in broken:
                rig.record("BROKEN: " + line)
                print("BROKEN: " + line)
            rig.record("result: %s" % ("broken" if broken else "held"))
            return 1 if broken else 0
        except CannotRun as error:
            rig.record("cannot run: %s" % error)
            print("cannot run: %s" % error)
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                import shutil
                shutil.copytree(rig.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            await rig.stop()

    async def limited():
        try:
            return await asyncio.wait_for(play(), 110)
        except (asyncio.TimeoutError, OSError) as error:
            print("cannot run: %r" % error)
            return 2

    sys.exit(asyncio.run(limited()))

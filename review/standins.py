"""Stand-ins of the users' platform for the review's cases: the metadata store, the promotion
service, database instances, clients of the line wire, and relays that can cut a path.

Everything listens on loopback addresses with ports from the system, in one asyncio loop. Only the
Python standard library is used. The behaviour follows `PROTOCOL.md`, `SYSTEM.md` and the letters.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self.start) * 1000)

    def log(self, text):
        self.file.write(f"{self.now_ms():7d} ms  {text}\n")
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------


async def read_http(reader):
    """Reads one request; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(length)
    path, _, query = target.partition("?")
    from urllib.parse import parse_qsl

    return method, path, dict(parse_qsl(query, keep_blank_values=True)), headers, body


def http_answer(status, body):
    data = json.dumps(body).encode()
    return (
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    ).encode() + data


class HttpServer:
    """Serves HTTP/1.1 with kept connections; `handle` returns (status, body)."""

    def __init__(self, handle):
        self.handle = handle
        self.address = None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=4 << 20)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    break
                status, body = await self.handle(*request)
                writer.write(http_answer(status, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


# --- the platform's metadata store ---------------------------------------------------------------


class Store:
    """The metadata store: one revision counter, conditional changes, leases and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.down = False

    def note(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        item = self.items.get(key)
        created = item["createRev"] if item else self.revision
        self.items[key] = {
            "privateKey": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRev": created,
            "leaseId": lease,
        }
        self.history.append(dict(self.items[key]))

    def drop(self, key):
        if key in self.items:
            del self.items[key]
            self.history.append({"privateKey": key, "revision": self.revision, "gone": True})

    def put(self, key, value):
        """A write of the operator or of an instance."""
        self.revision += 1
        self.write(key, json.dumps(value).encode())
        self.note()

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            self.drop(key)
            self.note()

    def text(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for lease in [one for one, until in self.leases.items() if now >= until]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["leaseId"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.record.log(f"store: {key} is removed, its lease {lease} has ended")
                self.drop(key)
            self.note()

    async def handle(self, method, path, query, headers, body):
        if self.down:
            return 503, {"error": "down"}
        await asyncio.sleep(0.004)
        if path == "/v1/kv-key":
            item = self.items.get(query["privateKey"])
            if item is None:
                return 404, {"error": "none", "atRev": self.revision}
            return 200, {**item, "atRev": self.revision}
        if path == "/v1/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "more": len(keys) > 500, "atRev": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.transaction(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = int(json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = time.monotonic() + ttl / 1000
            return 200, {"leaseId": self.next_lease, "ttlMs": ttl, "revision": self.revision}
        match = re.fullmatch(r"/v1/kv-keep/(\d+)", path)
        if match:
            lease = int(match.group(1))
            if lease not in self.leases:
                return 404, {"error": "over"}
            self.leases[lease] = time.monotonic() + 3.0
            return 200, {"leaseId": lease, "ttlMs": 3000}
        match = re.fullmatch(r"/v1/kv-lease-end/(\d+)", path)
        if match:
            self.end_lease(int(match.group(1)))
            return 200, {}
        return 404, {"error": "unknown"}

    async def watch(self, query):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self.changed
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["privateKey"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, change):
        for row in change.get("expectedRev", []):
            item = self.items.get(row["privateKey"])
            if (item["revision"] if item else 0) != row["revision"]:
                expected = [row["privateKey"] for row in change["expectedRev"]]
                items = [self.items[key] for key in expected if key in self.items]
                return 412, {"items": items}
        for row in change.get("put", []):
            if row.get("leaseId") and row["leaseId"] not in self.leases:
                return 404, {"error": "no such lease"}
        self.revision += 1
        for row in change.get("put", []):
            self.write(row["privateKey"], base64.b64decode(row["value"]), row.get("leaseId", 0))
        for key in change.get("remove", []):
            self.drop(key)
        self.note()
        return 200, {"revision": self.revision}


# --- instances -----------------------------------------------------------------------------------


class Entry:
    """One commit in a log."""

    def __init__(self, term, number, writes, ids):
        self.term, self.number, self.writes, self.ids = term, number, writes, ids


class Instance:
    """One database instance: its log, its connections and its entry in the store."""

    def __init__(self, service, name, zone, role):
        self.service, self.name, self.zone, self.role = service, name, zone, role
        self.term, self.held, self.log, self.applied = 1, 0, [], 0
        self.born = int(time.time() * 1000)
        self.running, self.deaf, self.cut_from_store, self.draining = True, False, False, False
        self.tasks, self.writers, self.server, self.port = set(), set(), None, 0
        self.waiting, self.outdated_since = [], None
        # Machines that are partitioned from this instance: what they send is held up.
        self.cut_from = set()
        self.seq, self.lapse_at = 0, None

    def position(self):
        return (self.term, self.log[-1].number if self.log else 0)

    def seen(self):
        """Position that readers see."""
        count = len(self.log) if self.role == "primary" else self.applied
        return (self.term, self.log[count - 1].number if count else 0)

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=2 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        self.seq += 1
        return {
            "service": self.service.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.service.slots,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "callSeq": self.seq,
            "dbRole": self.role,
            "born": self.born,
        }

    def publish(self):
        """A heartbeat; the entry changes when something besides callSeq does."""
        if not self.running or self.cut_from_store or self.service.store.down:
            return
        self.lapse_at = time.monotonic() + 3 * self.service.heartbeat
        key, entry = f"servers/{self.name}", self.entry()
        old = self.service.store.text(key)
        old = json.loads(old) if old else None
        if old is None or {**old, "callSeq": 0} != {**entry, "callSeq": 0}:
            self.service.store.put(key, entry)

    def set_role(self, role):
        if self.role != role:
            self.role = role
            self.service.record.log(f"{self.name}: now {role}, term {self.term}")
            self.publish()

    def crash(self):
        self.running = False
        self.service.record.log(f"{self.name}: crashes ({self.role}, {pos(self.position())})")
        self.server.close()
        for writer in list(self.writers):
            abort(writer)
        self.waiting.clear()

    def leave(self):
        """Sets `draining`: the instance serves on, receives and counts for `syncReplicas`."""
        self.draining = True
        self.service.record.log(f"{self.name}: is draining ({self.role})")
        self.publish()

    def end(self):
        """The planned end of a draining instance: it is gone, and its log with it."""
        self.service.record.log(f"{self.name}: has ended as planned ({pos(self.position())})")
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.service.instances.remove(self)
        self.service.store.delete(f"servers/{self.name}")

    async def restart(self):
        """Starts again under its id. A replica holds and knows nothing of before; a crashed
        primary has its log, and is a replica if another instance was promoted meanwhile."""
        if self.role == "replica":
            self.log, self.applied, self.term = [], 0, 1
        elif any(o.term > self.term for o in self.service.instances):
            self.role = "replica"
        self.held, self.outdated_since = 0, None
        self.born = int(time.time() * 1000)
        self.running = True
        await self.listen()
        self.service.record.log(f"{self.name}: starts again ({self.role}, {pos(self.position())})")
        self.publish()

    # the wire

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = Session(self, reader, writer)
        try:
            await session.run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def pos(position):
    return f"{position[0]}.{position[1]}"


def abort(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class Session:
    """One connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.transaction, self.values, self.prepared = None, {}, {}
        self.generation = instance.born

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def alive(self):
        return self.instance.running and self.instance.born == self.generation

    async def until_reached(self):
        """Waits while the machine at the other end is partitioned from the instance."""
        source = self.writer.get_extra_info("peername")[0]
        while source in self.instance.cut_from and self.alive():
            await asyncio.sleep(0.01)

    def ready(self):
        state = "I" if self.transaction is None else self.transaction["state"]
        return f"READY {state} {pos(self.instance.seen())}"

    async def run(self):
        instance = self.instance
        line = (await self.reader.readuntil(b"\n")).decode().strip("\r\n").split(" ")
        await self.until_reached()
        if line[0] != "STARTUP" or line[1] != instance.service.name:
            return self.send("ERROR MISROUTED service")
        if len(line) > 3 and line[3] != instance.name:
            return self.send("ERROR MISROUTED instance")
        if len(instance.writers) > instance.service.connections:
            return self.send("ERROR CONNLIMIT full")
        await asyncio.sleep(0.012)
        self.send(f"READY I {pos(instance.seen())}")
        while True:
            line = (await self.reader.readuntil(b"\n")).decode().strip("\r\n")
            await self.until_reached()
            if line == "TERMINATE" or not self.alive():
                return
            word, _, rest = line.partition(" ")
            ident, _, text = rest.partition(" ")
            if word != "QUERY":
                return self.send("ERROR MALFORMED")
            answer = await self.statement(ident, text)
            await self.until_reached()
            if not self.alive() or answer is None:
                return abort(self.writer)
            self.send(*answer, self.ready())
            await self.writer.drain()

    async def statement(self, ident, text):
        instance, service = self.instance, self.instance.service
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = (int(part) for part in words[1].split("."))
            if instance.seen() < (term, number):
                return ["ERROR LAGGING"]
            words = words[2:]
        kind = words[0]
        if ident == "-":
            return self.own(words)
        if self.transaction and self.transaction["state"] == "E" and kind not in (
            "COMMIT",
            "ROLLBACK",
        ):
            return ["ERROR MALFORMED the transaction has failed"]
        if kind == "EXECUTE":
            if words[1] not in self.prepared:
                return self.fail("ERROR NOSTMT")
            kind = self.prepared[words[1]][0]
            words = [kind] + words[2:]
        if kind == "BEGIN":
            if len(words) == 1 and instance.role != "primary":
                return ["ERROR READONLY"]
            self.transaction = {"state": "T", "writes": [], "ids": [], "read": len(words) > 1}
            sender = self.writer.get_extra_info("peername")[0]
            service.record.log(f"{instance.name}: begins {ident} from {sender}")
            return ["COMPLETE -"]
        if kind == "ROLLBACK":
            self.transaction = None
            return ["COMPLETE -"]
        if kind in ("SET", "PREPARE", "DEALLOC"):
            return self.own(words)
        await asyncio.sleep(service.work)
        if kind == "READ":
            value = self.value(words[1])
            service.record.log(f"{instance.name}: runs {ident} READ {words[1]} -> {value}")
            if service.on_read:
                service.on_read(ident, instance)
            return [f"DATAROW {value}", f"COMPLETE {instance.name}.{ident}"]
        if kind == "WRITE":
            if instance.role != "primary" or (self.transaction and self.transaction["read"]):
                return self.fail("ERROR READONLY")
            thing, data = words[1], " ".join(words[2:])
            sender = self.writer.get_extra_info("peername")[0]
            service.runs.append((ident, instance.name, sender))
            service.record.log(f"{instance.name}: runs {ident} WRITE {thing} {data} from {sender}")
            if service.on_run:
                service.on_run(ident, sender)
            if self.transaction:
                self.transaction["writes"].append((thing, data))
                self.transaction["ids"].append(ident)
                return [f"COMPLETE {instance.name}.{ident}"]
            return await self.commit(ident, [(thing, data)], [ident])
        if kind == "COMMIT":
            transaction, self.transaction = self.transaction, None
            if transaction is None or transaction["state"] == "E":
                return ["ERROR FAILED rolled back"]
            if not transaction["writes"]:
                return [f"COMPLETE {instance.name}.{ident}"]
            if instance.role != "primary":
                return ["ERROR READONLY"]
            return await self.commit(ident, transaction["writes"], transaction["ids"])
        return ["ERROR MALFORMED"]

    def fail(self, line):
        if self.transaction:
            self.transaction["state"] = "E"
        return [line]

    def value(self, thing):
        if self.transaction:
            for name, data in reversed(self.transaction["writes"]):
                if name == thing:
                    return data
        count = len(self.instance.log) if self.instance.role == "primary" else self.instance.applied
        for entry in reversed(self.instance.log[:count]):
            for name, data in reversed(entry.writes):
                if name == thing:
                    return data
        return "nothing"

    async def commit(self, ident, writes, ids):
        """Appends a commit; answered once a replica has received it."""
        instance, service = self.instance, self.instance.service
        number = (instance.log[-1].number if instance.log else 0) + 1
        entry = Entry(instance.term, number, writes, ids)
        instance.log.append(entry)
        done = asyncio.get_running_loop().create_future()
        instance.waiting.append((entry, done))
        service.wake.set()
        role_lost = service.role_lost(instance)
        await asyncio.wait({done, role_lost}, return_when=asyncio.FIRST_COMPLETED, timeout=5)
        if not done.done() or not self.alive():
            return None
        service.committed.append((service.record.now_ms(), instance.name, ids))
        service.record.log(
            f"{instance.name}: commits {entry.term}.{entry.number} ({' '.join(ids)})"
        )
        await asyncio.sleep(service.answer_delay)
        return [f"COMPLETE {instance.name}.{ident}"]

    def own(self, words):
        """Statements about the session or the instance itself."""
        instance = self.instance
        if words[0] == "SET":
            self.values[words[1]] = " ".join(words[2:])
        elif words[0] == "PREPARE":
            self.prepared[words[1]] = (words[2], " ".join(words[3:]))
        elif words[0] == "DEALLOC":
            self.prepared.pop(words[1], None)
        elif words[0] == "RESET":
            self.values.clear()
            self.prepared.clear()
        elif words[0] == "ROLLBACK":
            self.transaction = None
        elif words[0] in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            if words[0] == "PAUSE":
                term = int(words[1])
                if instance.role == "replica" and term > max(instance.term, instance.held):
                    instance.held = term
            elif words[0] == "RESUME":
                instance.held = 0
            elif words[0] == "DEMOTE" and instance.term < int(words[1]):
                instance.set_role("replica")
                instance.applied = len(instance.log)
            if words[0] != "STATUS":
                instance.service.record.log(
                    f"{instance.name}: {' '.join(words)} -> held {instance.held}, "
                    f"{instance.role} {pos(instance.position())}"
                )
            row = (
                f"DATAROW {instance.role} {instance.term} {pos(instance.position())} "
                f"{instance.held} 0 0 {len(instance.writers)}"
            )
            return [row, "COMPLETE -"]
        else:
            return ["ERROR MALFORMED"]
        return ["COMPLETE -"]


class Service:
    """A service: its instances and their replication."""

    def __init__(self, record, store, name, zones, slots=2, connections=16, heartbeat=1.2):
        self.record, self.store, self.name = record, store, name
        self.slots, self.connections, self.heartbeat = slots, connections, heartbeat
        self.work, self.answer_delay, self.lag = 0.005, 0.0, 0.02
        self.wake, self.runs, self.committed, self.promoted = asyncio.Event(), [], [], []
        self.on_run, self.on_read = None, None
        self.instances = [
            Instance(self, f"i-{name}-{number}", zone, "primary" if number == 0 else "replica")
            for number, zone in enumerate(zones)
        ]
        self.count = len(zones) - 1

    async def start(self):
        for instance in self.instances:
            await instance.listen()
            instance.publish()

    async def add_replica(self, zone):
        """Starts a further replica, under a new id and at a new address."""
        self.count += 1
        replica = Instance(self, f"i-{self.name}-{self.count}", zone, "replica")
        self.instances.append(replica)
        await replica.listen()
        self.record.log(f"{replica.name}: starts (replica)")
        replica.publish()
        return replica

    def role_lost(self, instance):
        async def lost():
            while instance.running and instance.role == "primary":
                await asyncio.sleep(0.02)

        return asyncio.ensure_future(lost())

    def primary(self):
        leaders = [one for one in self.instances if one.running and one.role == "primary"]
        return max(leaders, key=lambda one: one.term, default=None)

    async def beat(self):
        while True:
            for instance in self.instances:
                instance.publish()
                if instance.lapse_at and time.monotonic() > instance.lapse_at:
                    if not self.store.down:
                        self.store.delete(f"servers/{instance.name}")
                        instance.lapse_at = None
            await asyncio.sleep(self.heartbeat / 4)

    async def replicate(self):
        while True:
            try:
                await asyncio.wait_for(self.wake.wait(), 0.02)
            except asyncio.TimeoutError:
                pass
            self.wake.clear()
            await asyncio.sleep(0.001)
            leaders = [one for one in self.instances if one.running and one.role == "primary"]
            for one in leaders:
                newer = any(other.term > one.term for other in leaders)
                one.outdated_since = (one.outdated_since or time.monotonic()) if newer else None
                if one.outdated_since and time.monotonic() > one.outdated_since + 1.0:
                    one.set_role("replica")
                    one.applied = len(one.log)
            for one in self.instances:
                if one.running and one.role == "replica" and not one.deaf:
                    self.receive(one)
            for one in leaders:
                for entry, done in list(one.waiting):
                    if any(entry in other.log for other in self.instances if other is not one):
                        one.waiting.remove((entry, done))
                        if not done.done():
                            done.set_result(None)

    def receive(self, replica):
        leaders = [
            one
            for one in self.instances
            if one.running and one.role == "primary" and one.term >= max(replica.term, replica.held)
        ]
        source = max(leaders, key=lambda one: one.term, default=None)
        if source is None:
            return
        replica.term = source.term
        same = 0
        while (
            same < min(len(replica.log), len(source.log)) and replica.log[same] is source.log[same]
        ):
            same += 1
        if same < len(replica.log):
            del replica.log[same:]
            replica.applied = min(replica.applied, same)
        if len(source.log) > same:
            replica.log.extend(source.log[same:])
            length = len(replica.log)
            loop = asyncio.get_running_loop()
            loop.call_later(self.lag, self.apply, replica, length)

    @staticmethod
    def apply(replica, length):
        replica.applied = max(replica.applied, min(length, len(replica.log)))

    async def promote(self, name):
        """The promoted instance takes the next term some hundred ms after the call."""
        await asyncio.sleep(0.3)
        instance = next(one for one in self.instances if one.name == name)
        if not instance.running or instance is self.primary():
            return
        instance.term = max(max(one.term, one.held) for one in self.instances) + 1
        for one in self.instances:
            one.held = 0
        kept = {ident for entry in instance.log for ident in entry.ids}
        self.promoted.append((self.record.now_ms(), name, kept))
        self.record.log(
            f"{name}: the promotion takes effect, term {instance.term}, "
            f"log up to {instance.log[-1].number if instance.log else 0}"
        )
        instance.set_role("primary")


class Cloud:
    """The promotion service, which ignores fences (`fencingRequired` false)."""

    def __init__(self, record, services):
        self.record, self.services, self.calls = record, services, []

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body)
        fence, holder = int(headers["fencing-token"]), headers["duty-holder"]
        service, name = call["service"], call["instanceId"]
        self.calls.append((self.record.now_ms(), holder, fence, service, name))
        self.record.log(f"cloud: POST /promotion {service} {name} by {holder} with fence {fence}")
        await asyncio.sleep(0.004)
        service = next((one for one in self.services if one.name == service), None)
        instance = service and next((o for o in service.instances if o.name == name), None)
        if not instance or not instance.running:
            self.record.log(f"cloud: answers 409, {name} is not running")
            return 409, {"error": "not running"}
        if instance is not service.primary():
            asyncio.ensure_future(service.promote(name))
        return 200, {}


# --- relays --------------------------------------------------------------------------------------


class Relay:
    """A path to `target` that can be cut. While it is cut, bytes in both directions are held up,
    and connections that are opened get nothing through; when the cut heals, the bytes go on, unless
    their sender has reset the connection. Held bytes of a connection that was opened during the cut
    and closed again are lost: it was never established."""

    def __init__(self, record, name, target, watch=None):
        self.record, self.name, self.target, self.watch = record, name, target, watch
        self.open = asyncio.Event()
        self.open.set()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    def cut(self):
        self.record.log(f"relay {self.name}: cut")
        self.open.clear()

    def heal(self):
        self.record.log(f"relay {self.name}: heals")
        self.open.set()

    async def serve(self, reader, writer):
        if not self.open.is_set():
            # In a cut no connection is established: what its opener closes meanwhile is gone.
            closed = asyncio.ensure_future(self.until_closed(reader))
            healed = asyncio.ensure_future(self.open.wait())
            await asyncio.wait({closed, healed}, return_when=asyncio.FIRST_COMPLETED)
            if closed.done():
                healed.cancel()
                return writer.close()
            closed.cancel()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target[:2])
        except OSError:
            return abort(writer)
        await asyncio.gather(
            self.pump(reader, far_writer, writer, True),
            self.pump(far_reader, writer, far_writer, False),
        )

    @staticmethod
    async def until_closed(reader):
        # Peeks without consuming: data stays in the reader's buffer.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)
            if reader._eof:
                return

    async def pump(self, reader, writer, back, outward):
        try:
            while True:
                data = await reader.read(65536)
                if self.watch and data:
                    await self.watch(outward, data)
                if not self.open.is_set():
                    if data:
                        self.record.log(f"relay {self.name}: holds {len(data)} bytes")
                    await self.open.wait()
                    if reader.exception() is not None:
                        raise ConnectionResetError
                    if data:
                        self.record.log(f"relay {self.name}: passes {len(data)} held bytes on")
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, RuntimeError):
            abort(writer)
            abort(back)


class PeerLink:
    """One connection between two nodes, seen by the relay in front of the accepting one."""

    def __init__(self, opener, acceptor):
        self.opener, self.acceptor = opener, acceptor
        self.silent = False
        self.segments = 0


class PeerRelay:
    """Stands in front of a node's peer address, for TCP and datagrams. `delay(link, outward)` says
    for how long a segment is held up, as one is whose packet was lost and is sent again. A link that
    went silent swallows everything and stays open."""

    def __init__(self, record, node, delay=None):
        self.record, self.node, self.delay = record, node, delay
        self.links = []

    async def start(self):
        while True:
            self.server = await asyncio.start_server(self.serve, self.node.ip, 0)
            self.address = self.server.sockets[0].getsockname()
            try:
                loop = asyncio.get_running_loop()
                await loop.create_datagram_endpoint(
                    lambda: DatagramRelay(self.node.peer), local_addr=self.address
                )
                return self
            except OSError:
                self.server.close()

    async def serve(self, reader, writer):
        link = PeerLink(writer.get_extra_info("peername")[0], self.node.ip)
        self.links.append(link)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.node.peer)
        except OSError:
            return abort(writer)
        await asyncio.gather(
            self.pump(link, reader, far_writer, writer, True),
            self.pump(link, far_reader, writer, far_writer, False),
        )

    async def pump(self, link, reader, writer, back, outward):
        try:
            while True:
                data = await reader.read(65536)
                if link.silent:
                    if not data:
                        return
                    continue
                if self.delay:
                    wait = self.delay(link, outward)
                    if wait:
                        await asyncio.sleep(wait)
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, RuntimeError):
            abort(writer)
            abort(back)


class DatagramRelay(asyncio.DatagramProtocol):
    """Passes datagrams on, and the answers back."""

    def __init__(self, target):
        self.target, self.sockets = target, {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        asyncio.ensure_future(self.forward(data, source))

    async def forward(self, data, source):
        if source not in self.sockets:
            self.sockets[source] = asyncio.ensure_future(self.connect(source))
        transport = await self.sockets[source]
        transport.sendto(data)

    async def connect(self, source):
        outer = self.transport

        class Back(asyncio.DatagramProtocol):
            def datagram_received(self, data, _):
                outer.sendto(data, source)

        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(Back, remote_addr=self.target)
        return transport


# --- clients -------------------------------------------------------------------------------------


class Client:
    """A client session of the line wire."""

    def __init__(self, record, label):
        self.record, self.label = record, label

    async def open(self, address, database, who="u1"):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*address[:2]), 2
        )
        self.writer.write(f"STARTUP {database} {who}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\n"), 2)).decode().strip()
        if not line.startswith("READY"):
            raise ConnectionError(line)
        return self

    async def ask(self, ident, text, timeout=3.0):
        """Sends a statement; returns (lines before READY, state), or None without an answer."""
        self.record.log(f"{self.label}: sends {ident} {text}")
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        lines = []
        try:
            while True:
                line = await asyncio.wait_for(self.reader.readuntil(b"\n"), timeout)
                line = line.decode().strip("\r\n")
                if line.startswith("READY"):
                    self.record.log(f"{self.label}: {ident} is answered {' | '.join(lines)}")
                    return lines, line.split(" ")[1]
                lines.append(line)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.record.log(f"{self.label}: {ident} gets no answer ({type(error).__name__})")
            return None

    def close(self):
        self.writer.close()


def succeeded(answer):
    return answer is not None and answer[0] and answer[0][-1].startswith("COMPLETE")


PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT")


def promised(answer):
    """Whether the answer is a promise that nothing is kept."""
    return (
        answer is not None
        and bool(answer[0])
        and answer[0][-1].startswith("ERROR ")
        and answer[0][-1].split(" ")[1] in PROMISES
    )


# --- nodes ---------------------------------------------------------------------------------------


def render(template, fields):
    """Fills a template as DEPLOY.md says, as far as `deploy/node.toml` needs it."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if find(match.group(1)) not in (None, False, [], {}) else ""

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def gap(match):
        value = find(match.group(1))
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}#/^]+)\}\}", gap, text)


def free_port(host="127.0.0.1"):
    """A port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port


BOUNDS = {
    "contactMs": 4000,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "revertSlackMs": 250,
    "skewMaxMs": 12000,
    "recoveryS": 12,
    "fencingRequired": False,
    "thawSlackMs": 300,
}


class Node:
    """A process of the system, started as `deploy/system.toml` says."""

    def __init__(self, record, folder, name, zone, store, cloud, ip="127.0.0.1"):
        self.record, self.name, self.zone, self.ip = record, name, zone, ip
        self.folder = folder
        ports = [free_port(ip) for _ in range(3)]
        self.caller, self.ready, self.peer = ((ip, port) for port in ports)
        fields = {
            "nodeName": name,
            "zone": zone,
            "ip": ip,
            "listen": {"front": f"{ip}:{ports[0]}", "ready": f"{ip}:{ports[1]}"},
            "internalPorts": [ports[2], ports[2]],
            "limits": {"linkMbps": 1000.0},
            "bounds": BOUNDS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "platform": {"address": f"{store[0]}:{store[1]}"},
            "cloud": {"address": f"{cloud[0]}:{cloud[1]}"},
        }
        with open(os.path.join(ROOT, "deploy", "node.toml"), encoding="utf-8") as file:
            self.text = render(file.read(), fields)
        self.settings = os.path.join(folder, f"{name}.toml")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None

    def start(self, cluster="cluster-of-review", advertise=None):
        """Starts the process. `advertise` is where the other nodes reach it, if a relay stands in
        between."""
        if advertise:
            self.text = f'advertised_peer_address = "{advertise[0]}:{advertise[1]}"\n' + self.text
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(self.text)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "KESTRELLOCK_CLUSTER_KEY": cluster,
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [
                    os.path.join(ROOT, "target/release/kestrellockd"),
                    "--settings",
                    self.settings,
                    "--log-format",
                    "json",
                ],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.log(f"{self.name}: started")

    def signal(self, number):
        self.record.log(f"{self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def events(self, name):
        """Log lines of the node that tell of the event `name`."""
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            lines = [line for line in file if f'"{name}"' in line]
        return lines


def configuration(version, services, timeout_ms=800):
    routes, entries = [], []
    for service in services:
        for kind, short, stale in (
            ("primary", "p", 0),
            ("bounded_staleness", "b", 1500),
            ("read_your_writes", "o", 2500),
        ):
            routes.append(
                {
                    "name": f"r-{service.name}-{short}",
                    "host": f"{service.name}-{short}",
                    "pathPrefix": "/",
                    "routeType": kind,
                    "timeoutMs": timeout_ms,
                    "targetLatencyMs": 250,
                    "priority": 1,
                    "service": service.name,
                    "maxAttempts": 2,
                    "maxStalenessMs": stale,
                }
            )
        entries.append(
            {
                "name": service.name,
                "healthPath": "/health",
                "maxConnections": service.connections,
                "protocol": "own",
                "tls": False,
                "syncReplicas": 1,
            }
        )
    limits = {"txIdleMs": 5000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": entries, "limits": limits}


async def until(what, condition, limit):
    """Waits until `condition` holds; raises CannotRun otherwise."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(0.01)
    raise CannotRun(what)


class CannotRun(Exception):
    """The case could not be run to its end."""


def run_case(main, folder):
    """Runs a case. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    nodes = []
    with tempfile.TemporaryDirectory() as temporary:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        # Connections that end with the run are no errors.
        loop.set_exception_handler(lambda *_: None)
        # A run that is ended from outside ends its processes, too.
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: sys.exit(2))
        try:
            case = asyncio.wait_for(main(record, temporary, nodes, trouble), 110)
            code = 1 if loop.run_until_complete(case) else 0
        except (CannotRun, asyncio.TimeoutError, OSError, ConnectionError) as error:
            record.log(f"cannot run: {type(error).__name__} {error}")
            code = 2
        except BaseException:
            traceback.print_exc()
            code = 2
        finally:
            for node in nodes:
                node.kill()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                subprocess.run(["cp", "-r", temporary, keep], check=False)
    record.log({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    with open(record.file.name, encoding="utf-8") as file:
        print("".join(file.readlines()[-12:]), end="", flush=True)
    # Without the loop's own clean-up, which would report every open connection.
    os._exit(code)

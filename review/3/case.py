"""Case 3: a transaction of a session runs at an old primary that lacks the session's own commit."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, ".."))
from standins import *  # noqa: E402, F403

ZONES = ["casa-ain", "casa-sidi", "casa-bouskoura"]
SESSIONS = 3
WARMERS = 5
ROUNDS = 6
FREEZE_AFTER_S = 0.30
WAKE_AFTER_S = 0.06


async def main(record, folder, nodes, trouble):
    store = Store(record)
    store_server = await HttpServer(store.handle).start()
    services = [
        Service(record, store, f"yearbook{number}", ZONES, slots=3, connections=34)
        for number in range(3)
    ]
    cloud = Cloud(record, services)
    cloud_server = await HttpServer(cloud.handle).start()
    store.put("op/config", configuration(1, services))
    background = [asyncio.ensure_future(store.expire_leases())]
    for service in services:
        service.lag = 0.008
        await service.start()
        background += [
            asyncio.ensure_future(service.beat()),
            asyncio.ensure_future(service.replicate()),
        ]
    for number in range(9):
        zone = ZONES[number % 3]
        name = f"front-{zone}-{number // 3 + 1}"
        ip = f"127.0.0.{11 + number}"
        nodes.append(
            Node(record, folder, name, zone, store_server.address, cloud_server.address, ip)
        )
        nodes[-1].start()
    for node in nodes:
        await until("every node is ready", node.is_ready, 20)
    await asyncio.sleep(6)
    stale = []
    for number in range(ROUNDS if trouble else 2):
        service = services[number % len(services)]
        stale = await attempt(record, service, f"r{number}", nodes, trouble)
        if stale:
            break
    for text in stale:
        record.log(f"STALE: {text}")
    for task in background:
        task.cancel()
    return bool(stale)


async def attempt(record, service, tag, nodes, trouble):
    """One round. Returns what broke the rule."""
    by_ip = {node.ip: node for node in nodes}
    # A front whose statements other nodes run, and these nodes.
    front, owners = None, set()
    for node in nodes:
        client = await Client(record, f"find-{node.name}").open(node.caller, f"{service.name}-o")
        ran = set()
        for number in range(10):
            ident = f"find{tag}-{node.name}-{number}"
            if succeeded(await client.ask(ident, "WRITE thing0 data0")):
                ran.add(next(ip for one, _, ip in service.runs if one == ident))
        client.close()
        if len(ran) > 1 and node.ip not in ran:
            front, owners = node, ran
            break
    if front is None:
        raise CannotRun("no front has two nodes that run its statements")
    frozen = by_ip[sorted(owners)[0]]
    record.log(f"{front.name}: its statements run at {[by_ip[ip].name for ip in owners]}")
    sessions, acked, stale, began = [], {}, [], {}
    for number in range(SESSIONS):
        label = f"session{number}"
        client = await Client(record, label).open(front.caller, f"{service.name}-o")
        sessions.append(client)
        acked[label] = []
    warmers = []
    for number in range(WARMERS):
        client = Client(record, f"warmer{number}")
        warmers.append(await client.open(front.caller, f"{service.name}-o"))
    others = []
    for node in nodes:
        if node not in (front, frozen):
            others.append(await Client(record, f"other-{node.name}").open(
                node.caller, f"{service.name}-p"))
    stop = False

    async def traffic(client):
        number = 0
        while not stop:
            number += 1
            ident = f"other{tag}-{client.label}-{number}"
            if await client.ask(ident, f"WRITE {client.label} data{number}") is None:
                return
            await asyncio.sleep(0.05)

    lanes = [asyncio.ensure_future(traffic(client)) for client in others]

    def on_read(ident, instance):
        """The check: the log that a read runs on has every commit of its session."""
        label = ident.split("-")[0]
        if label not in began:
            return
        kept = {one for entry in instance.log for one in entry.ids}
        begin, begin_ms = began[label]
        for one, told, told_ms in acked[label]:
            if told < begin and one not in kept:
                stale.append(
                    f"{ident} of {label} runs at {instance.name}, whose log lacks {one}; that was "
                    f"acknowledged at {told_ms} ms, before the transaction began at {begin_ms} ms"
                )

    service.on_read = on_read
    # Statements of the front before the trouble, so that both nodes know the primary.
    async def before(client):
        number, end = 0, record.now_ms() + 1000
        while record.now_ms() < end:
            number += 1
            ident = f"before{tag}-{client.label}-{number}"
            await client.ask(ident, f"WRITE {client.label} before")

    await asyncio.gather(*(before(client) for client in sessions + warmers))
    old = service.primary()
    if trouble:
        record.log(
            f"trouble: the primary {old.name} is partitioned from the other machines (primary_cut)"
        )
        # Orders to instances come from connections that are not bound to a node's address.
        old.cut_from = {node.ip for node in nodes if node is not frozen} | {"127.0.0.1"}
        await asyncio.sleep(FREEZE_AFTER_S)
        record.log(f"trouble: {frozen.name} freezes (node_freeze)")
        frozen.process.send_signal(signal.SIGSTOP)
        await until("another primary", lambda: service.primary() is not old, 8)
        await asyncio.sleep(0.03)

    async def session(client):
        label, name = client.label, tag
        ident = f"{label}-{name}write"
        if not succeeded(await client.ask(ident, f"WRITE {label} own")):
            return
        acked[label].append((ident, time.monotonic(), record.now_ms()))
        end = record.now_ms() + 600
        number = 0
        while record.now_ms() < end and not stale:
            number += 1
            began[label] = (time.monotonic(), record.now_ms())
            if succeeded(await client.ask(f"{label}-{name}begin{number}", "BEGIN")):
                await client.ask(f"{label}-{name}read{number}", f"READ {label}")
            await client.ask(f"{label}-{name}end{number}", "ROLLBACK")

    running = [asyncio.ensure_future(session(client)) for client in sessions]
    if trouble:
        await asyncio.sleep(WAKE_AFTER_S)
        record.log(f"trouble: {frozen.name} wakes")
        frozen.process.send_signal(signal.SIGCONT)
    await asyncio.gather(*running)
    stop = True
    if trouble:
        await asyncio.sleep(1)
        old.cut_from = set()
    await asyncio.gather(*lanes)
    service.on_read = None
    for client in sessions + warmers + others:
        client.close()
    await asyncio.sleep(2)
    return stale


if __name__ == "__main__":
    run_case(main, HERE)

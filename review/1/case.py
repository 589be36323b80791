"""Case 1: a promotion names an instance whose log lacks acknowledged commits."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, ".."))
from standins import *  # noqa: E402, F403

ZONES = ["casa-ain", "casa-sidi", "casa-bouskoura"]
# `drainMs` of the site.
DRAIN_S = 7


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
        await service.start()
        background += [
            asyncio.ensure_future(service.beat()),
            asyncio.ensure_future(service.replicate()),
        ]
    for number in range(6):
        zone = ZONES[number % 3]
        name = f"front-{zone}-{number // 3 + 1}"
        nodes.append(
            Node(record, folder, name, zone, store_server.address, cloud_server.address)
        )
        nodes[-1].start()
    service = services[0]
    first, second, third = service.instances
    for node in nodes:
        await until("every node is ready", node.is_ready, 20)
    acknowledged = []

    async def write(number, client):
        ident = f"w{number:05d}"
        answer = await client.ask(ident, f"WRITE thing{number % 7} data{number}")
        if succeeded(answer):
            acknowledged.append((record.now_ms(), ident))
        return answer

    client = await Client(record, "client").open(nodes[0].caller, f"{service.name}-p")
    await until("a write is taken", lambda: ask_until(client), 20)
    number = 0

    async def writes(seconds):
        nonlocal number
        end = record.now_ms() + 1000 * seconds
        while record.now_ms() < end:
            number += 1
            await write(number, client)
            await asyncio.sleep(0.1)

    # Steady state: long enough that every node has observed the instances for a while.
    await writes(4)
    if len(acknowledged) < 20:
        raise CannotRun("too few writes were acknowledged")
    if trouble:
        # The replica i-1 is replaced: the new one starts first, then the old one drains.
        record.log(f"planned: {second.name} is to be replaced (release)")
        fourth = await service.add_replica(second.zone)
        await asyncio.sleep(1)
        second.leave()
        await writes(DRAIN_S - 2)
        record.log(
            f"trouble: {third.name} and {fourth.name} receive nothing for a while (replica_lag deaf)"
        )
        third.deaf = fourth.deaf = True
        await writes(3)
        second.end()
        record.log(f"trouble: the primary {first.name} crashes (replica_lag crash)")
        first.crash()

        async def returns():
            await asyncio.sleep(3.5)
            record.log("trouble: replication goes on")
            third.deaf = fourth.deaf = False
            await asyncio.sleep(3.5)
            await first.restart()

        background.append(asyncio.ensure_future(returns()))
    else:
        await writes(DRAIN_S + 1)
    end = record.now_ms() + 12_000
    while record.now_ms() < end and not service.promoted:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1)
    broken = False
    for at, name, kept in service.promoted:
        missing = [ident for told, ident in acknowledged if told <= at and ident not in kept]
        record.log(f"LOST: {name} was promoted; its log lacks {len(missing)}: {missing}")
        broken = broken or bool(missing)
    for task in background:
        task.cancel()
    return broken


async def ask_until(client):
    answer = await client.ask("w00000", "WRITE thing data0")
    return succeeded(answer)


if __name__ == "__main__":
    run_case(main, HERE)

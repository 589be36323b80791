"""Case 3: a promotion of a former coordinator arrives after its successor's, with a lower fence."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standins import *  # noqa: E402, F403

ZONES = ["malaga", "kewdale", "osborne-pk"]
CUT_S = 6.0


async def main(record, folder, nodes, trouble):
    store = Store(record)
    store_server = await HttpServer(store.handle).start()
    services = [Service(record, store, f"fleet{number}", ZONES) for number in range(3)]
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
    cut_nodes = []

    def watch_of(name, relays):
        async def watch(outward, data):
            """The node is partitioned from the platform while its first promotion is on the way."""
            if not trouble or cut_nodes or not outward or b"POST /promotion" not in data:
                return
            cut_nodes.append(name)
            record.log(f"trouble: {name} is partitioned from the platform (core_cut, {CUT_S} s)")
            for relay in relays:
                relay.cut()

            async def heal():
                await asyncio.sleep(CUT_S)
                for relay in relays:
                    relay.heal()

            background.append(asyncio.ensure_future(heal()))

        return watch

    for number in range(6):
        zone = ZONES[number % 3]
        name = f"front-{zone}-{number // 3 + 1}"
        relays = []
        relays.append(await Relay(record, f"{name} to store", store_server.address).start())
        relays.append(await Relay(record, f"{name} to cloud", cloud_server.address).start())
        relays[1].watch = watch_of(name, relays)
        nodes.append(Node(record, folder, name, zone, relays[0].address, relays[1].address))
        nodes[-1].start()
    service = services[0]
    for node in nodes:
        await until("every node is ready", node.is_ready, 20)
    clients = [await Client(record, f"client{n}").open(node.caller, f"{service.name}-p")
               for n, node in enumerate(nodes)]

    async def taken():
        return succeeded(await clients[0].ask("w0000", "WRITE thing0 data0"))

    await until("a write is taken", taken, 20)
    number, stop = 0, False

    async def traffic(client, lane):
        count = 0
        while not stop:
            count += 1
            answer = await client.ask(f"w{lane}x{count}", f"WRITE thing{lane} data{count}")
            if answer is None:
                return
            await asyncio.sleep(0.1)

    lanes = [asyncio.ensure_future(traffic(client, n)) for n, client in enumerate(clients)]
    await asyncio.sleep(4)
    record.log(f"planned: the primary {service.instances[0].name} crashes (srv_crash)")
    service.instances[0].crash()
    await until("a promotion arrives or is held up", lambda: cloud.calls or cut_nodes, 10)
    await asyncio.sleep(CUT_S + 3 if trouble else 4)
    stop = True
    await asyncio.gather(*lanes, return_exceptions=True)
    if trouble and len({holder for _, holder, *_ in cloud.calls}) < 2:
        raise CannotRun("no other node replaced the primary during the cut")
    broken, highest = False, 0
    for at, holder, fence, name, instance in cloud.calls:
        if fence < highest:
            broken = True
            record.log(
                f"ONE: at {at} ms {holder} sent fence {fence} for {instance}; "
                f"the platform had seen {highest}"
            )
        highest = max(highest, fence)
    for task in background:
        task.cancel()
    return broken


if __name__ == "__main__":
    run_case(main, HERE)

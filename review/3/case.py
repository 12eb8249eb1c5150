"""The sender goes over its memory limit: clients that stop in the middle of a request and stay.

Story: a sender with 32 MB and 1,024 descriptors serves usual clients, whose messages are delivered at once. Then
330 other clients connect, at most a third of the descriptors. Each sends a request with a body of 64 KiB up to a
few bytes before its end, in two pieces, and stays until it gets its error; then it comes again, for 30 s.
What counts is memory that cannot be given back: the process's anonymous memory and the files of its folder.
Without the disruption (TROUBLE=0) the usual clients are alone.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import lisboa
from standin import (HOST, TROUBLE, Client, Endpoint, Platform, SenderProcess, entry, main, response)

MEMORY_MB = 32  # LATER.md: "32 to 192 MB depending on language and day"
SOCKETS = 1024  # "256 to 1,024 descriptors"
STAYING = 330  # "Clients hold at most a third of the descriptors for requests": 341
LASTING = 30.0
PAUSES = (0.1, 1.6)  # between the two pieces of a request, spread over the clients
BODY = 65536  # PROTOCOL: "A body holds at most 64 KiB"


class Memory:
    """Samples the memory of a process and of its folder, in KiB. The limit is taken as 2^20 bytes for an MB."""

    def __init__(self, record, sender):
        self.record, self.sender, self.most, self.done = record, sender, None, False

    def sample(self):
        values = {}
        with open(f"/proc/{self.sender.process.pid}/status", encoding="ascii") as file:
            for line in file:
                name, _, value = line.partition(":")
                if name in ("RssAnon", "VmRSS", "VmHWM"):
                    values[name] = int(value.split()[0])
        blocks = 0
        for name in os.listdir(self.sender.state):
            try:
                blocks += -(-os.stat(os.path.join(self.sender.state, name)).st_size // 512)
            except FileNotFoundError:
                pass
        values["folder"] = blocks // 2
        values["counted"] = values["RssAnon"] + values["folder"]
        return values

    async def watch(self):
        while not self.done and self.sender.process.poll() is None:
            now = self.sample()
            if self.most is None or now["counted"] > self.most["counted"]:
                self.most = now
                self.record(f"memory in KiB: {now}")
            await asyncio.sleep(0.005)


async def story(record):
    async def handle(call):
        record(f"endpoint A: call {call.id} is complete and runs")
        await asyncio.sleep(0.05)
        return response(200, "OK")

    a = Endpoint(record, "A", handle)
    platform = Platform(record, [entry("s-a", a.port, 1, "general-partner")])
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": 3}
    sender = SenderProcess(record, "n1", lisboa.settings(), platform.port, platform.known(), limits)
    for part in (a, platform):
        await part.start()
    end = 0.0
    errors = {"told": 0, "closed": 0, "neither": 0}

    async def usual():
        client, number = Client(record, sender), 0
        while end == 0.0 or record.now() < end:
            number += 1
            await client.put(f"{number:016x}", "contact-upload", 1, 20000, key=f"{number:016x}", body=b"u" * 30000)
            await asyncio.sleep(0.07)

    async def stays(number):
        """A client that stops in the middle of a request and stays."""
        fields = b"c=contact-upload,d=20000,dest=1,k=%016x" % number
        parts = [b"MSG.PUT", b"0" * 16, b"%016x" % (0xbad00000 + number), fields, b"x" * BODY]
        command = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)
        first, second = command[:BODY - 36], command[BODY - 36:-2]
        while record.now() < end:
            try:
                reader, writer = await asyncio.open_connection(HOST, sender.port)
                writer.write(first)
                await writer.drain()
                await asyncio.sleep(PAUSES[0] + (PAUSES[1] - PAUSES[0]) * (number % 17) / 16)
                writer.write(second)
                await writer.drain()
                line = await asyncio.wait_for(reader.readline(), 6)
                errors["told" if line else "closed"] += 1
                record(f"staying client {number}: {len(command) - 2} bytes of {len(command)}, answered {line!r}")
                writer.close()
            except OSError:
                errors["closed"] += 1
            except asyncio.TimeoutError:
                errors["neither"] += 1

    try:
        sender.start()
        await sender.ready()
        memory = Memory(record, sender)
        watching = asyncio.create_task(memory.watch())
        usual_client = asyncio.create_task(usual())
        await asyncio.sleep(6)
        record(f"memory before: {memory.most}")
        end = record.now() + LASTING
        if TROUBLE:
            await asyncio.gather(*(stays(number) for number in range(STAYING)))
        await usual_client
        memory.done = True
        await watching
        record(f"clients that stopped in the middle: {errors}")
        record(f"most memory in KiB: {memory.most}; limit {MEMORY_MB * 1024}")
        print(f"most memory in KiB: {memory.most}; limit {MEMORY_MB * 1024}")
        if sender.process.poll() is not None:
            return [f"the sender has ended by itself with {sender.process.returncode}"]
        if memory.most["counted"] > MEMORY_MB * 1024:
            return [f"the sender held {memory.most['counted']} KiB of {MEMORY_MB * 1024}: over memory_mb it is killed"]
        return []
    finally:
        sender.close()


main(os.path.dirname(os.path.abspath(__file__)), story)

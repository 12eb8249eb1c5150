"""A message is lost: a second copy of an answer ends it, and its own refusal is read as another call's answer.

Story: partner B (kind general-partner) has one endpoint with a plain rate limit, answers without reports, and
stands 8 ms away, behind a proxy that delays. A clump of messages for it comes in. One answer, a 200, is followed
straight by a second copy, when nothing else is waiting on the connection; the copy travels 2 ms longer than the
answer. The clump goes over B's limit, and B turns calls away with 429 for 0.5 s; after that it takes all.
Without the disruption (TROUBLE=0) there is no second copy.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import lisboa
from standin import (TROUBLE, CannotRun, Client, Endpoint, Link, Platform, SenderProcess, entry, main, response)

LATENCY = 0.008  # [net] same_ms = [5, 15]
STRAIGHT = 0.0005  # from the answer to its copy, as the endpoint writes them
LONGER = 0.002  # [net] jitter = [0.058, 0.32]: up to 2.56 ms of these 8
WORK = 0.1  # [[class]] contact-upload, work_ms = [76, 130]
PATIENCE_MS = 20000
LATE = 0.300 + 0.050  # PROTOCOL: 300 ms after its time is up; every time limit is 50 ms longer
CLUMP = 12  # a clump is about as many as B takes in 1.3 to 3.3 s
TAKEN_AT_FIRST = 4  # calls of the clump that B's limit covers
REFUSING = 0.5


async def story(record):
    delivered = {}  # message id: seconds at which the first line with 200 was written for it
    refused = {}
    clump = {"calls": 0, "copies": 0, "refuse_from": None}

    async def take(call, work):
        await asyncio.sleep(work)
        answer = response(200, "OK")
        await call.write(answer)
        delivered.setdefault(call.id, record.now())
        record(f"endpoint {call.endpoint.name}: 200 for {call.id} on connection {call.connection}")
        return answer

    async def handle_a(call):
        await take(call, WORK)

    async def handle_b(call):
        clump["calls"] += 1
        number = clump["calls"]
        record(f"endpoint B: call {call.id} on connection {call.connection}")
        if clump["refuse_from"] is not None and record.now() < clump["refuse_from"] + REFUSING:
            refused.setdefault(call.id, record.now())
            await call.write(response(429, "Too Many Requests"))
            record(f"endpoint B: 429 for {call.id} on connection {call.connection}")
            return
        if number == TAKEN_AT_FIRST:
            clump["refuse_from"] = record.now()
        answer = await take(call, WORK + 0.004 * min(number, TAKEN_AT_FIRST))
        if TROUBLE and number == 1:
            await asyncio.sleep(STRAIGHT)
            if not call.nothing_waits():
                raise CannotRun("something waits on the connection: no copy")
            await call.write(answer)
            clump["copies"] += 1
            record(f"endpoint B: a second copy of that answer on connection {call.connection}, nothing waits there")

    a, b = Endpoint(record, "A", handle_a), Endpoint(record, "B", handle_b)
    to_a, to_b = Link(record, a, LATENCY, LONGER), Link(record, b, LATENCY, LONGER)
    platform = Platform(record, [entry("s-a", to_a.port, 1, "general-partner"),
                                 entry("s-b", to_b.port, 2, "general-partner")])
    sender = SenderProcess(record, "n1", lisboa.settings(), platform.port, platform.known())
    for part in (a, b, to_a, to_b, platform):
        await part.start()
    try:
        sender.start()
        await sender.ready()
        client = Client(record, sender)
        for i in range(6):  # ordinary traffic first
            await client.put(f"{0xa0 + i:016x}", "contact-upload", 1, PATIENCE_MS, key=f"{0xaa00 + i:016x}")
            await asyncio.sleep(0.15)
        clients = [Client(record, sender) for _ in range(CLUMP)]
        taken = {}  # message id: seconds at which its time is up

        async def hand_in(i):
            id, sent = f"{0xb00 + i:016x}", record.now()
            if await clients[i].put(id, "contact-upload", 2, PATIENCE_MS, key=f"{0x5c00 + i:016x}") == "+OK":
                taken[id] = sent + PATIENCE_MS / 1000

        await asyncio.gather(*(hand_in(i) for i in range(CLUMP)))
        await asyncio.sleep(PATIENCE_MS / 1000 + 1.0)
        if TROUBLE and not clump["copies"]:
            raise CannotRun("there was no copy")
        ended = {}
        for at, id, _ in platform.notices:
            ended.setdefault(id, at)
        violations = []
        for id, up in sorted(taken.items()):
            at = delivered.get(id, ended.get(id))
            how = "delivered" if id in delivered else "ended by a notice" if id in ended else "neither"
            record(f"message {id}: {how}{'' if at is None else f' at {at:.3f} s'}, its time is up at {up:.3f} s")
            if at is None or (id not in delivered and at > up + LATE):
                why = f"; its only call was answered 429 at {refused[id]:.3f} s" if id in refused else ""
                violations.append(f"message {id} was taken on and has neither been delivered nor ended{why}: lost")
        return violations
    finally:
        sender.close()


main(os.path.dirname(os.path.abspath(__file__)), story)

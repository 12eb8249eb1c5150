"""A message may run twice: the second restart forgets that the first one interrupted a call.

Story (seconds since the message that matters was handed in):
  0.0  three messages of `contact-upload` (a repeat is dropped for 8 s) go to endpoint B, which runs them
  0.15 SIGKILL while these calls are out, and B goes down: it refuses connections for 8.7 s
  0.75 the sender starts again with its folder; its calls to B are refused
  4.5  SIGKILL; 5.1 the sender starts again with its folder
  8.85 B is back, and still knows what it ran
Without the disruption (TROUBLE=0) there is neither a kill nor an outage, and B answers.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import lisboa
from standin import (TROUBLE, Client, Endpoint, Platform, SenderProcess, entry, main, response)

WINDOW = 8.0  # [[class]] contact-upload, window_ms
SLACK = 0.05  # "every time limit is 50 ms longer"
OUTAGE = 8.7  # [[trouble]] crash, len_s = [8.6, 17]
FIRST_KILL, SECOND_KILL, RESTART = 0.15, 4.5, 0.6
PATIENCE_MS = 20000
MESSAGES = [f"{i:016x}" for i in range(0xb1, 0xb4)]


async def story(record):
    calls = []  # (seconds, message id, key) of each complete call

    def answer_after(work):
        async def handle(call):
            calls.append((call.at, call.id, call.key))
            record(f"endpoint {call.endpoint.name}: call {call.id} key {call.key} is complete and runs")
            await asyncio.sleep(work)
            return response(200, "OK")
        return handle

    a = Endpoint(record, "A", answer_after(0.1))
    b = Endpoint(record, "B", answer_after(0.3))
    platform = Platform(record, [entry("s-a", a.port, 1, "general-partner"),
                                 entry("s-b", b.port, 2, "general-partner")])
    sender = SenderProcess(record, "n1", lisboa.settings(), platform.port, platform.known())
    for part in (a, b, platform):
        await part.start()
    try:
        sender.start()
        await sender.ready()
        client = Client(record, sender)
        for i in range(12):  # ordinary traffic first
            await client.put(f"{0xa0 + i:016x}", "contact-upload", 1, PATIENCE_MS, key=f"{0xaa00 + i:016x}")
        await asyncio.sleep(0.5)
        start = record.now()
        taken = []
        for id in MESSAGES:
            if await client.put(id, "contact-upload", 2, PATIENCE_MS, key=f"{int(id, 16) + 0x5c00:016x}") == "+OK":
                taken.append(id)

        async def until(seconds):
            await asyncio.sleep(max(0.0, start + seconds - record.now()))

        if TROUBLE:
            await until(FIRST_KILL)
            await sender.kill()
            await b.go_down()
            down_at = record.now()
            await asyncio.sleep(RESTART)
            sender.start()
            await sender.ready()
            await until(SECOND_KILL)
            await sender.kill()
            await asyncio.sleep(RESTART)
            sender.start()
            await sender.ready()
            await asyncio.sleep(max(0.0, down_at + OUTAGE - record.now()))
            await b.start()
        await until(PATIENCE_MS / 1000 + 1.5)
        return judge(record, taken, calls)
    finally:
        sender.close()


def judge(record, taken, calls):
    violations = []
    for id in taken:
        times = [at for at, other, _ in calls if other == id]
        late = [at for at in times if at > times[0] + WINDOW + SLACK]
        record(f"message {id}: complete calls at {[round(at, 3) for at in times]}")
        if late:
            violations.append(f"message {id} ran at {times[0]:.3f} s and was sent again {late[0] - times[0]:.3f} s "
                              f"later; its key is known for {WINDOW} s: it ran twice")
    return violations


main(os.path.dirname(os.path.abspath(__file__)), story)

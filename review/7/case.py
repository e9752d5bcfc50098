"""One backend spoils a few of its answers; the node beside it ends, with all requests of its machine."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import deployment2 as d2  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "7"))

# The dose of `garble`: a share of 0.35 of the backends, 0.02 of their answers, for 5.5 s. Here 1 backend of 3, 5.5 s
# at a time, until the rule is broken or the longest time is over.
SPOILT_SHARE = 0.02
SPOIL_FROM_S, SPOIL_FOR_S, PAUSE_BETWEEN_S = 3.0, 5.5, 3.0
MAX_SPELLS = 6
TRAFFIC_S = 12.0 + (MAX_SPELLS - 1) * (SPOIL_FOR_S + PAUSE_BETWEEN_S)
# On each machine of the service with the faulty backend.
DEPOSIT_CLIENTS = 20
# On each machine.
BROWSE_CLIENTS = 5
# The length of the bytes behind the last chunk of a spoilt answer.
TRAILER_BYTES = 70_000


class SpoilingBackend(d2.Backend):
    """A faulty backend: some of its answers are broken off, or go on with bytes that are no response."""

    def __init__(self, deployment, node, chance):
        super().__init__(deployment, node)
        self.chance = chance
        self.spoils = False
        self.behave = self._behave

    def _behave(self, headers, path, body):
        if not self.spoils or self.chance.random() >= SPOILT_SHARE:
            return None
        manner = self.chance.choice(["cut", "trailer"])
        self.deployment.record("spoilt", backend=self.node.name, id=headers["attempt-id"], manner=manner)
        if manner == "cut":
            return self._cut(headers)
        head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {headers['attempt-id']}\r\nServer-Seal: seal\r\n"
                "Transfer-Encoding: chunked\r\n\r\n").encode()
        return head + b"5\r\nslots\r\n0\r\nX-Debug: " + b"z" * TRAILER_BYTES + b"\r\n\r\n"

    async def _cut(self, headers):
        async def write(writer):
            answer = self.answer(headers, b"slots" * 20)
            writer.write(answer[:-30])
            await writer.drain()
            return False
        return write


class DepositBackend(d2.Backend):
    """A sound backend that works for some time."""

    def __init__(self, deployment, node):
        super().__init__(deployment, node)
        self.behave = self._behave

    async def _work(self, headers):
        await asyncio.sleep(0.5)
        return self.answer(headers, b"booked")

    def _behave(self, headers, path, body):
        return self._work(headers)


async def play(record):
    chance = random.Random(SEED)
    deployment = d2.Deployment(record, services=("calendar", "bookings"), nodes_per_service=3)
    backends = []
    try:
        deployment.start()
        await asyncio.sleep(1.0)
        await deployment.configure([d2.route("slots", "calendar"),
                                    d2.route("deposits", "bookings", kind="non_idempotent")])
        calendar = [SpoilingBackend(deployment, n, chance) for n in deployment.nodes[:3]]
        sound = [DepositBackend(deployment, n) for n in deployment.nodes[3:]]
        backends = [*calendar, *sound]
        for backend in backends:
            await backend.start()
        await deployment.wait_ready()
        await asyncio.sleep(2.0)

        judge = d2.LostJudge(record)
        begin = time.monotonic()
        end = begin + TRAFFIC_S
        clients = [d2.KeptClient(node, judge, "POST", "/deposits/new", b"amount=10", pause_s=0.05)
                   for node in deployment.nodes[:3] for _ in range(DEPOSIT_CLIENTS)]
        clients += [d2.KeptClient(node, judge, "GET", "/slots/free", pause_s=0.03)
                    for node in deployment.nodes for _ in range(BROWSE_CLIENTS)]

        def ran(identity):
            return any(run["id"] == identity for b in sound for run in b.runs)

        async def disruption():
            await asyncio.sleep(SPOIL_FROM_S)
            for _ in range(MAX_SPELLS):
                # The one that has got most requests: nodes may send hardly any to one of the three.
                spoiling = max(calendar, key=lambda b: len(b.runs))
                spoiling.spoils = TROUBLE
                await asyncio.sleep(SPOIL_FOR_S)
                spoiling.spoils = False
                await asyncio.sleep(PAUSE_BETWEEN_S)
                if judge.broken():
                    return

        platform = asyncio.create_task(d2.keep_running(deployment, record, end))
        traffic = [asyncio.create_task(c.run(end, ran)) for c in clients]
        await disruption()
        for task in [platform, *traffic]:
            task.cancel()
        await asyncio.gather(platform, *traffic, return_exceptions=True)
        ends = sum(p.starts - 1 for p in deployment.members + deployment.nodes)
        record("result", trouble=TROUBLE, answered=judge.answered, lost=judge.lost, ends_by_themselves=ends)
        print(f"{judge.answered} answers; processes ended by themselves {ends} times; {judge.lost} requests of kept "
              "connections were passed on to a sound backend and got no answer")
        if judge.answered < 200:
            raise d2.CannotRun("too little traffic")
        return d2.EXIT_BROKEN if judge.broken() else d2.EXIT_HELD
    finally:
        for backend in backends:
            await backend.stop()
        deployment.stop()


def main():
    record = d2.Record(HERE / "record.txt")
    try:
        return asyncio.run(play(record))
    except (d2.CannotRun, OSError) as error:
        record("cannot-run", error=repr(error))
        print(f"the case could not run: {error}", file=sys.stderr)
        return d2.EXIT_NOT_RUN


if __name__ == "__main__":
    sys.exit(main())

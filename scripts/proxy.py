"""A loopback proxy that fails on demand, between callers and nodes or nodes and targets."""

import asyncio
import threading

PIECE = 1 << 16
LOOK_PERIOD = 0.02  # seconds
SLOW = 0.05  # seconds added to each piece


class Proxies:
    """Forwards from ports to ports on a thread of its own. The mode of each may change at any time:
    pass, cut (connections are reset and none is made), hold (no byte passes), deaf (answers are
    held while requests pass), slow."""

    def __init__(self, routes):
        self.modes = {port: "pass" for port in routes}
        self.open = {port: set() for port in routes}
        self.loop = asyncio.new_event_loop()
        started = threading.Event()
        threading.Thread(target=self._run, args=(routes, started), daemon=True).start()
        started.wait()

    def set(self, port, mode):
        self.modes[port] = mode
        if mode == "cut":
            self.loop.call_soon_threadsafe(self._cut, port)

    def _cut(self, port):
        for writer in self.open[port]:
            writer.transport.abort()

    def _run(self, routes, started):
        asyncio.set_event_loop(self.loop)
        for port, to in routes.items():
            self.loop.run_until_complete(asyncio.start_server(
                lambda r, w, port=port, to=to: self._serve(port, to, r, w), "127.0.0.1", port))
        started.set()
        self.loop.run_forever()

    async def _serve(self, port, to, reader, writer):
        if self.modes[port] == "cut":
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection("127.0.0.1", to)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, back_writer}
        self.open[port] |= pair
        await asyncio.gather(self._forward(port, reader, back_writer, {"hold"}),
                             self._forward(port, back_reader, writer, {"hold", "deaf"}))
        self.open[port] -= pair

    async def _forward(self, port, reader, writer, held_in):
        try:
            while piece := await reader.read(PIECE):
                while self.modes[port] in held_in:
                    await asyncio.sleep(LOOK_PERIOD)
                if self.modes[port] == "slow":
                    await asyncio.sleep(SLOW)
                writer.write(piece)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

"""A loopback proxy that injects faults between callers and nodes or between nodes and targets."""

import asyncio
import threading

CHUNK_BYTES = 1 << 16
STALL_POLL_PERIOD_S = 0.02
SLOW_CHUNK_DELAY_S = 0.05


class Proxies:
    """Forwards TCP connections from ports to other ports on a separate thread. The mode of each port
    can change at any time: pass, reset (resets open and new connections), stall (forwards no byte),
    stall-answers (forwards requests but no answers), slow (delays each chunk)."""

    def __init__(self, routes):
        self.modes = {port: "pass" for port in routes}
        self.open_writers = {port: set() for port in routes}
        self.loop = asyncio.new_event_loop()
        is_running = threading.Event()
        threading.Thread(target=self._run, args=(routes, is_running), daemon=True).start()
        is_running.wait()

    def set_mode(self, port, mode):
        self.modes[port] = mode
        if mode == "reset":
            self.loop.call_soon_threadsafe(self._reset_connections, port)

    def _reset_connections(self, port):
        for writer in self.open_writers[port]:
            writer.transport.abort()

    def _run(self, routes, is_running):
        asyncio.set_event_loop(self.loop)
        for port, target_port in routes.items():
            self.loop.run_until_complete(asyncio.start_server(
                lambda r, w, port=port, target_port=target_port: self._serve(port, target_port, r, w),
                "127.0.0.1", port))
        is_running.set()
        self.loop.run_forever()

    async def _serve(self, port, target_port, reader, writer):
        if self.modes[port] == "reset":
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, upstream_writer}
        self.open_writers[port] |= pair
        await asyncio.gather(self._forward(port, reader, upstream_writer, {"stall"}),
                             self._forward(port, upstream_reader, writer, {"stall", "stall-answers"}))
        self.open_writers[port] -= pair

    async def _forward(self, port, reader, writer, stall_modes):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                while self.modes[port] in stall_modes:
                    await asyncio.sleep(STALL_POLL_PERIOD_S)
                if self.modes[port] == "slow":
                    await asyncio.sleep(SLOW_CHUNK_DELAY_S)
                writer.write(chunk)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

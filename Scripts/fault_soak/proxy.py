"""A TCP proxy on loopback that injects faults into its connections."""

import asyncio

# Largest number of bytes read at once.
CHUNK_BYTES = 16384


class Proxy:
    """Forwards connections to `target`, an address and port that may change."""

    def __init__(self):
        self.target = None
        self.port = 0
        # Delay of each chunk, in seconds.
        self.delay = 0.0
        # Directions whose bytes are dropped: "up" to the target, "down" from it.
        self.dropped_directions = set()
        # The target is unreachable without a sign: nothing is read or written.
        self.silent = False
        # New connections are accepted and closed at once.
        self.rejecting = False
        # Returns how the link of a connecting process is cut ("hang", "reset" or
        # "refuse"), or None; see partitions.py.
        self.link_cut = lambda peer: None
        self._connections = set()
        # (address, port) of each connected process -> its connection
        self._peers = {}
        # Peers whose bytes are dropped.
        self._hanging = set()
        self._server = None

    async def listen(self, address, port=0):
        self._address = address
        self._server = await asyncio.start_server(self._serve, address, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def end_target(self):
        """The target's process ended: its connections break and its port is free."""
        self.target = None
        self._server.close()
        self.reset_connections()

    async def restart_target(self, target):
        """The target's process listens at `target`, behind the same port."""
        self.target = target
        if not self._server.is_serving():
            await self.listen(self._address, self.port)

    def reset_connections(self):
        for writer in list(self._connections):
            writer.transport.abort()

    def cut_links(self, kind, peers):
        """Cuts the links of connected processes."""
        for peer in peers & self._peers.keys():
            if kind == "hang":
                self._hanging.add(peer)
            elif kind == "reset":
                self._peers[peer].transport.abort()

    def heal_links(self):
        # Bytes were dropped from these streams, so they cannot continue.
        for peer in self._hanging & self._peers.keys():
            self._peers[peer].transport.abort()
        self._hanging.clear()

    async def close(self):
        self._server.close()
        self.reset_connections()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        peer = writer.get_extra_info("peername")
        self._peers[peer] = writer
        target_writer = None
        try:
            cut = self.link_cut(peer)
            if self.rejecting or self.target is None or cut in ("reset", "refuse"):
                return
            if cut == "hang":
                self._hanging.add(peer)
            from_target, target_writer = await asyncio.open_connection(*self.target)
            self._connections.add(target_writer)
            await asyncio.gather(
                self._copy(reader, target_writer, "up", peer),
                self._copy(from_target, writer, "down", peer),
            )
        except OSError:
            # The target does not listen, or one of the two connections broke; both
            # are closed below.
            pass
        finally:
            self._peers.pop(peer, None)
            self._hanging.discard(peer)
            for end in (writer, target_writer):
                if end is not None:
                    self._connections.discard(end)
                    end.transport.abort()

    async def _copy(self, reader, writer, direction, peer):
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay:
                await asyncio.sleep(self.delay)
            if (
                self.silent
                or direction in self.dropped_directions
                or peer in self._hanging
            ):
                continue
            writer.write(chunk)
            await writer.drain()
        # End of input on one side: closes the other after all bytes are written.
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.close()

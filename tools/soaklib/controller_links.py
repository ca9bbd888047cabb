"""The links that agents and other controllers make to a controller: forwarded, so that they can be slow, silent or cut.

The controller listens at an address of its own (`ControlLinkAddr`); whoever calls it meets the forwarder.
"""
import asyncio
from random import Random

from soaklib.listener import serve_at

CHUNK_BYTES = 1 << 16
DELAY_S = 0.15
TROUBLED_SHARE = 0.5  # of the links, each drawn by itself: others of the same controller go on


class Link:
    """One connection, with bytes in both directions."""

    def __init__(self, writers):
        self.writers = writers
        self.delay_s = 0.0
        self.open = asyncio.Event()  # while it is not set, nothing comes through
        self.open.set()

    def abort(self):
        for writer in self.writers:
            writer.transport.abort()

    async def forward(self, reader, writer):
        """In order, each piece as late as the link is slow."""
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s > 0:
                await asyncio.sleep(self.delay_s)
            await self.open.wait()
            writer.write(data)
            await writer.drain()


class ControllerLinks:
    """All links to one controller."""

    def __init__(self, name, outer, inner, seed):
        self.name, self.outer, self.inner, self.random = name, outer, inner, Random(f"{seed}-{name}-links")
        self.links, self.server, self.is_cut = set(), None, False

    async def start(self):
        self.server = await serve_at(self.serve, *self.outer)

    async def serve(self, reader, writer):
        writers = [writer]
        try:
            if not self.is_cut:
                inner_reader, inner_writer = await asyncio.open_connection(*self.inner)
                writers.append(inner_writer)
                await self.run(Link(writers), (reader, inner_writer), (inner_reader, writer))
        except (ConnectionError, OSError):
            pass
        finally:
            for each in writers:
                each.transport.abort()

    async def run(self, link, there, back):
        """Until one side closes: the other one learns of it at once, as with a direct connection."""
        self.links.add(link)
        loop = asyncio.get_running_loop()
        ways = [loop.create_task(link.forward(*there)), loop.create_task(link.forward(*back))]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.links.discard(link)
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)

    def draw(self):
        """Some of the links as they are now."""
        return [link for link in self.links if self.random.random() < TROUBLED_SHARE]

    async def delay(self, seconds):
        links = self.draw()
        for link in links:
            link.delay_s = DELAY_S
        await asyncio.sleep(seconds)
        for link in links:
            link.delay_s = 0.0

    async def silence(self, seconds):
        """Nothing comes through for a while, then what was on its way arrives late."""
        links = self.draw()
        for link in links:
            link.open.clear()
        await asyncio.sleep(seconds)
        for link in links:
            link.open.set()

    async def drop(self, seconds):
        """All links break, and no new one is made for a while: the controller still calls the others."""
        self.is_cut = True
        for link in list(self.links):
            link.abort()
        await asyncio.sleep(seconds)
        self.is_cut = False

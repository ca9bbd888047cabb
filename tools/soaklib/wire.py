"""The wire of clients and databases: what ends a message, texts with bytes that end none, and a client's connection:
messages as they arrive, and the moment at which it ended."""
import asyncio
import zlib

END = b"\r\n"
HARD_SHARE = 4  # one text in so many holds bytes that look like the end of a message


async def read_message(reader):
    """The next message; asyncio.IncompleteReadError where the connection ends first."""
    return (await reader.readuntil(END))[:-len(END)].decode()


def data_of(name):
    """The data of a write: a line feed or a carriage return by itself belongs to it, whatever stands behind."""
    if zlib.crc32(name.encode()) % HARD_SHARE:
        return f"v{name}"
    return f"v{name}\nQUERY {name}.smuggled STORE 1 0\rx"


def row_of(name):
    """The row that answers the read with this id."""
    if zlib.crc32(name.encode()) % HARD_SHARE:
        return f"row-{name}"
    return f"row-{name}\nIDLE I 9.9\rx"


class Wire(asyncio.Protocol):
    def __init__(self, clock):
        self.clock, self.buffer = clock, b""
        self.transport, self.ended_at, self.waiter = None, None, None

    @classmethod
    async def connect(cls, clock, host, port, seconds=1.0):
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(seconds):
            _, wire = await loop.create_connection(lambda: cls(clock), host, port)
        return wire

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        self.wake()

    def take_line(self):
        """The next whole line; none as long as it has not come."""
        line, end, rest = self.buffer.partition(END)
        if not end:
            return None
        self.buffer = rest
        return line.decode(errors="replace")

    def take_bytes(self, length):
        if len(self.buffer) < length:
            return None
        taken, self.buffer = self.buffer[:length], self.buffer[length:]
        return taken.decode(errors="replace")

    def eof_received(self):
        self.note_end()

    def connection_lost(self, _):
        self.note_end()

    def note_end(self):
        if self.ended_at is None:
            self.ended_at = self.clock()
        self.wake()

    def wake(self):
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    def send(self, text):
        if self.ended_at is None:
            self.transport.write(text.encode())

    async def wait(self, seconds):
        """Until something has come, the connection has ended, or the time is over."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(seconds):
                await self.waiter
        except asyncio.TimeoutError:
            pass
        self.waiter = None

    def close(self):
        if self.transport:
            self.transport.close()

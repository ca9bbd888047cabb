"""What stand-ins for databases share: a listening socket, its connections, and the troubles of these."""
import asyncio

WORK_STEP_S = 0.02


async def serve_at(handler, host, port, **options):
    """A server whose connections end quietly with the run: asyncio reports a handler of its own that is cancelled as a
    fault."""
    serving = set()

    def accept(reader, writer):
        task = asyncio.get_running_loop().create_task(handler(reader, writer))
        serving.add(task)
        task.add_done_callback(serving.discard)
    return await asyncio.start_server(accept, host, port, **options)


class Listener:
    def __init__(self):
        self.up = False
        self.server, self.connections = None, set()
        self.delay_s, self.resets = 0.0, 0  # of its links

    async def listen(self, host, port):
        self.up = True
        self.server = await serve_at(self.serve, host, port, limit=1 << 21)

    def stop_listening(self):
        self.up = False
        self.server.close()
        self.abort_connections()

    def reset_links(self):
        """All its connections break; it runs on."""
        self.resets += 1
        self.abort_connections()

    def abort_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()

    def has_broken_off_since(self, resets):
        return not self.up or self.resets != resets


def has_closed(reader):
    return reader.at_eof() or reader.exception() is not None


async def be_busy(reader, clock, seconds):
    """Works for a while; a connection that closes ends the work."""
    end = clock() + seconds * 1000
    while (left_ms := end - clock()) > 0:
        if has_closed(reader):
            raise ConnectionResetError
        await asyncio.sleep(min(WORK_STEP_S, left_ms / 1000))


async def take_slot(slots, reader):
    """Waits for a slot in order of arrival; a connection that closes ends the waiting."""
    taking = asyncio.get_running_loop().create_task(slots.acquire())
    try:
        while not (await asyncio.wait({taking}, timeout=WORK_STEP_S))[0]:
            if has_closed(reader):
                raise ConnectionResetError
    except BaseException:
        if not taking.cancel():
            slots.release()
        raise

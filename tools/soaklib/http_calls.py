"""HTTP calls over one connection each, as the operator, the databases and the platform make them.

Times are bounded by asyncio.timeout() everywhere: wait_for() of Python 3.11 takes no notice of a cancellation that comes
together with the result, and a task that goes on for ever then holds up the end of the run.
"""
import asyncio


async def call(host, port, method, path, body="", headers=()):
    """The status and the body of the answer; status 0 where there was none."""
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 24)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Connection: close", f"Content-Length: {len(body)}"]
        writer.write(("\r\n".join(lines + list(headers)) + "\r\n\r\n" + body).encode())
        answer = await reader.read()
    finally:
        writer.close()
    if not answer:
        return 0, ""
    head, _, text = answer.partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), text.decode(errors="replace")


async def call_within(seconds, address, method, path, body="", headers=()):
    """The same within a time; status 0 after it, and where the connection failed."""
    host, port = address
    try:
        async with asyncio.timeout(seconds):
            return await call(host, port, method, path, body, headers)
    except (OSError, ValueError, IndexError, asyncio.TimeoutError):
        return 0, ""


async def read_request(reader):
    """(method, path, headers, body) of the next request; none at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *fields = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in fields)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, path = first.split(" ")[:2]
        return method, path, headers, body.decode()
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
        return None


def answer_bytes(status, body="", headers=()):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()

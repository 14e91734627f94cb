"""HTTP/1.1 over asyncio streams, just enough for the stand-ins. Standard library only."""

import asyncio


class Message:
    """A request or the head of a response."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a start line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Reads one chunk; empty at the last one. Raises if the body is cut."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_request(reader):
    """Reads a whole request; None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    if "chunked" in message.get("transfer-encoding"):
        while True:
            data = await read_chunk(reader)
            if not data:
                break
            message.body += data
    else:
        message.body = await reader.readexactly(int(message.get("content-length", "0")))
    return message


def head_bytes(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def abort(writer):
    """Resets a connection."""
    writer.transport.abort()

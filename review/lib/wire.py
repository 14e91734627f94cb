"""HTTP/1.1 over asyncio streams, for clients and servers of the cases."""

import asyncio
import socket
import struct


class Closed(Exception):
    """The connection ended before the message was complete."""


class Message:
    """A request or the head of a response; header names are in lower case."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers
        self.body = b""

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Closed(repr(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """The next chunk of a chunked body; empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Closed(repr(error)) from error
    return data[:-2]


async def read_body(reader, message, on_part=None):
    """Reads a body with a length, in chunks, or up to the end of the connection."""
    parts = []

    def add(part):
        parts.append(part)
        if on_part:
            on_part(part)

    if message.get("transfer-encoding") == "chunked":
        while part := await read_chunk(reader):
            add(part)
    elif "content-length" in message.headers:
        try:
            add(await reader.readexactly(int(message.get("content-length"))))
        except (asyncio.IncompleteReadError, OSError) as error:
            raise Closed(repr(error)) from error
    elif message.first.startswith("HTTP/"):
        try:
            while part := await reader.read(65536):
                add(part)
        except OSError as error:
            raise Closed(repr(error)) from error
    message.body = b"".join(parts)


async def read_request(reader):
    message = await read_head(reader)
    await read_body(reader, message)
    message.method, message.target, _ = message.first.split(" ", 2)
    return message


def head(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


REASONS = {200: "OK", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request"}


def response(status, headers, body):
    first = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
    return head(first, [*headers, ("Content-Length", len(body))]) + body


def reset(writer):
    """Resets a connection."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        except OSError:
            pass
    writer.transport.abort()


async def call(address, method, target, headers=(), body=b"", timeout=2.0):
    """One request on a new connection; returns status, headers and body."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [*headers]
            if not any(name == "Host" for name, _ in lines):
                lines.insert(0, ("Host", address))
            if body or method != "GET":
                lines.append(("Content-Length", len(body)))
            writer.write(head(f"{method} {target} HTTP/1.1", lines) + body)
            message = await read_head(reader)
            await read_body(reader, message)
            return int(message.first.split(" ")[1]), message, message.body
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)

"""Crowds of clients that misbehave within the limits on the size of a request.

A crowd is a number of connections and what each of them sends: a list of pieces, with a
pause before each but the first.
"""

import dataclasses
import random

HOST = "crowd.example"
# Limits of the configuration that the crowds are made for.
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 1_000_000
# Bodies up to this size count as small; see held_bytes::MayHold.
SMALL_BODY_BYTES = 65_000
# Longer than any test, so that no time limit ends what a crowd leaves open.
IDLE_TIMEOUT_MS = 300_000


@dataclasses.dataclass
class Crowd:
    connections: int
    # Returns the pieces that a connection sends, for a number and a `random.Random`.
    pieces: object
    # Seconds before each further piece.
    pause: float = 0.0
    # The listener that is called, see fault_soak/nodes.py.
    listener: str = "clients"
    # Times that a client connects again once it has been answered.
    returns: int = 0
    # Seconds for which the server keeps each request.
    service_time: float = 0.0
    # Limit of open descriptors of the node; None for that of the caller.
    descriptors: int = None
    # Further crowds that come at the same time.
    others: list = dataclasses.field(default_factory=list)


def request_head(request_id, key, fields, path="/order/"):
    """The begin of a request without the empty line that ends its head."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Lentilswitch-Request-Id: {request_id}\r\n"
        f"Authorization: Bearer {key}\r\n{fields}"
    ).encode()


def head(number, fields, path="/order/"):
    """The same for a client of a crowd."""
    return request_head(f"crowd-{number}", "key-crowd", fields, path)


def filled(begin, line, limit):
    """Repeats a line behind the begin of a head, up to the limit in bytes."""
    return begin + line * ((limit - len(begin) - 2) // len(line))


def short_lines(number, _):
    begin = head(number, "Content-Length: 2\r\n")
    return [filled(begin, b"a:\r\n", MAX_HEADER_BYTES) + b"\r\n" + b"x"]


def odd_lines(number, rng):
    """Short lines with unusual names, values of blanks, and folded values."""
    begin = head(number, "Content-Length: 2\r\n")
    lines = [b"!:\r\n", b"~|:\t \t\r\n", b"x:\r\n \r\n", b"'*:  \r\n", b"^_`: \t\r\n"]
    text = bytearray(begin)
    while len(text) < MAX_HEADER_BYTES - 20:
        text += rng.choice(lines)
    return [bytes(text) + b"\r\n" + b"x"]


def unfinished_heads(number, _):
    return [filled(head(number, ""), b"a:\r\n", MAX_HEADER_BYTES)]


def lines_in_pieces(number, _):
    """A head without end, of lines that each arrive whole."""
    return [head(number, "")] + [b"a:\r\n" * 512] * 100


def whole_requests(number, _):
    begin = head(number, "Content-Length: 2\r\n")
    return [filled(begin, b"a:\r\n", MAX_HEADER_BYTES) + b"\r\n" + b"xx"]


def many_segments(number, _):
    """Whole requests with as many prompt segments as fit."""
    begin = head(number, "Content-Length: 2\r\n", "/chat/")
    begin += b"Lentilswitch-Token-Counts: 1000,5\r\nLentilswitch-Prompt-Prefix: "
    count = (MAX_HEADER_BYTES - len(begin) - 8) // 4
    return [begin + b",".join([b"a:0"] * count) + b"\r\n\r\nxx"]


def pipelined_requests(number, _):
    """Requests behind one that is in progress."""
    begin = head(number, "Content-Length: 2\r\n")
    request = filled(begin, b"a:\r\n", MAX_HEADER_BYTES) + b"\r\n" + b"xx"
    return [request] + [request * 20] * 5


CHUNKED = "Transfer-Encoding: chunked\r\n"


def trailers(number, _):
    """A chunked body whose trailer fills the limit and does not end."""
    begin = head(number, CHUNKED) + b"\r\n2\r\nxx\r\n0\r\n"
    return [begin] + [b"a:\r\n" * 256] * 15 + [b"a:\r\n" * 128]


def endless_trailers(number, _):
    begin = head(number, CHUNKED) + b"\r\n2\r\nxx\r\n0\r\n"
    return [begin] + [b"a:\r\n" * 512] * 100


def trailers_behind_heads(number, _):
    """A head of the largest size, a body, and a trailer without end."""
    begin = filled(head(number, CHUNKED), b"a:\r\n", MAX_HEADER_BYTES) + b"\r\n"
    body = b"x" * 30_000
    return [begin + b"7530\r\n" + body + b"\r\n0\r\n"] + [b"b:\r\n" * 512] * 7


def small_chunks(number, _):
    """A chunked body of chunks of one byte with extensions, without its end."""
    begin = head(number, CHUNKED) + b"\r\n"
    return [begin] + [b"1;a=b\r\nx\r\n" * 1000] * 60


def bodies(size):
    def pieces(number, _):
        begin = head(number, f"Content-Length: {size}\r\n")
        return [begin + b"\r\n" + b"x" * (size - 1)]

    return pieces


def bodies_in_pieces(size, count):
    def pieces(number, _):
        begin = head(number, f"Content-Length: {size}\r\n") + b"\r\n"
        part = b"x" * (size // count)
        return [begin] + [part] * (count - 1) + [part[:-1]]

    return pieces


def whole_bodies(size):
    def pieces(number, _):
        begin = head(number, f"Content-Length: {size}\r\n")
        return [begin + b"\r\n" + b"x" * size]

    return pieces


def nothing(_, __):
    return []


def endpoint_heads(path):
    def pieces(_, __):
        begin = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 2\r\n".encode()
        return [filled(begin, b"a:\r\n", MAX_HEADER_BYTES) + b"\r\n" + b"x"]

    return pieces


def endpoint_lines_in_pieces(path):
    def pieces(_, __):
        begin = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
        return [begin] + [b"a:\r\n" * 512] * 100

    return pieces


CROWDS = {
    "short_header_lines": Crowd(200, short_lines),
    "odd_header_lines": Crowd(200, odd_lines),
    "unfinished_heads": Crowd(300, unfinished_heads),
    "header_lines_in_pieces": Crowd(40, lines_in_pieces, pause=0.02),
    "requests_of_short_lines": Crowd(
        300, whole_requests, returns=2, service_time=3.0
    ),
    "requests_of_many_segments": Crowd(
        300, many_segments, returns=2, service_time=3.0
    ),
    "pipelined_requests": Crowd(300, pipelined_requests, service_time=5.0),
    "trailers": Crowd(1200, trailers, pause=0.02),
    "endless_trailers": Crowd(300, endless_trailers, pause=0.02, returns=3),
    "trailers_behind_heads": Crowd(400, trailers_behind_heads, pause=0.02),
    "small_chunks": Crowd(300, small_chunks, pause=0.01),
    "bodies": Crowd(300, bodies(MAX_BODY_BYTES), returns=1),
    "bodies_in_pieces": Crowd(300, bodies_in_pieces(MAX_BODY_BYTES, 50), pause=0.02),
    "small_bodies": Crowd(700, bodies(SMALL_BODY_BYTES)),
    "small_bodies_in_pieces": Crowd(
        700, bodies_in_pieces(SMALL_BODY_BYTES, 5), pause=0.2
    ),
    "silent_connections": Crowd(1800, nothing),
    "idle_connections": Crowd(1800, whole_bodies(30_000)),
    "directory_heads": Crowd(
        300, endpoint_heads("/v1/resolve?name=x"), listener="directory"
    ),
    "directory_lines_in_pieces": Crowd(
        40,
        endpoint_lines_in_pieces("/v1/resolve?name=x"),
        pause=0.02,
        listener="directory",
    ),
    "readiness_heads": Crowd(
        300, endpoint_heads("/v1/readiness"), listener="readiness"
    ),
    "descriptors": Crowd(300, nothing, descriptors=200),
}
CROWDS["all_kinds"] = Crowd(
    100,
    short_lines,
    returns=1,
    others=[
        Crowd(100, odd_lines),
        Crowd(20, lines_in_pieces, pause=0.02),
        Crowd(100, trailers, pause=0.02),
        Crowd(100, trailers_behind_heads, pause=0.02),
        Crowd(100, bodies(MAX_BODY_BYTES), returns=1),
        Crowd(200, bodies(SMALL_BODY_BYTES), returns=1),
        Crowd(100, endpoint_heads("/v1/resolve?name=x"), listener="directory"),
    ],
)


def random_crowd(seed):
    """A mix of two to four of the crowds, each of them smaller."""
    rng = random.Random(seed)
    names = [n for n in CROWDS if n not in ("all_kinds", "descriptors")]
    parts = []
    for name in rng.sample(names, rng.randint(2, 4)):
        crowd = CROWDS[name]
        count = int(crowd.connections * rng.uniform(0.2, 0.8))
        parts.append(
            (name, dataclasses.replace(crowd, connections=count, others=[]))
        )
    first = parts[0][1]
    first.others = [part for _, part in parts[1:]]
    first.service_time = max(part.service_time for _, part in parts)
    return "+".join(f"{name}:{part.connections}" for name, part in parts), first

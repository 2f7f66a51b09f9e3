#!/usr/bin/env python3
"""A crowd of HTTP clients that do not behave, for tests/crowd_test.sh.

Usage: crowd.py CROWD ADDRESS PATH
Opens the connections of the crowd, sends what it sends, waits until the server
has read it (at most READ_MAX_S, as a server need not), prints one line ("held:
OPEN of COUNT, SENT bytes") and keeps its connections open, without reading,
until standard input ends, or HOLD_MAX_S. A server may refuse a client or close
its connection at any time: that is no error.

"calm" is one client with a body just under the limit; prints the status.
"""
import select
import selectors
import socket
import sys
import time

BODY_BYTES = 1024 * 1024 - 1  # the largest body that the pages allow
BLOCK_BYTES = 64 * 1024  # written to one connection before the next one's turn
SEND_MAX_S = 4  # in all; what was not sent then is never sent
READ_MAX_S = 4
READ_POLL_S = 0.05
HOLD_MAX_S = 120
CALM_MAX_S = 10
ANNOUNCED_BYTES = 1 << 30
ENDLESS_BYTES = 64 << 20  # a connection sends no more than that
HEADER_BYTES = 15 * 1024
HEADER_LINE_BYTES = 1024
HEADER_PAUSE_S = 0.1  # between two header lines of a connection

COUNTS = {"whole": 112, "open": 112, "chunked": 112, "tiny-chunks": 112,
          "announced": 112, "endless": 112, "connections": 400,
          "headers": 4000}


def head(path, *fields):
    lines = ["POST %s HTTP/1.1" % path, "Host: h.example", *fields, "", ""]
    return "\r\n".join(lines).encode()


def body():
    """JSON that ends with its last byte and that no call accepts."""
    return b'{"x":"' + b"x" * (BODY_BYTES - 8) + b'"}'


def chunks(data, sizes):
    """The data in chunks of these sizes, in turn, without the last chunk."""
    out = []
    begin = n = 0
    while begin < len(data):
        piece = data[begin:begin + sizes[n % len(sizes)]]
        out.append(b"%x\r\n%s\r\n" % (len(piece), piece))
        begin += len(piece)
        n += 1
    return b"".join(out)


def header_lines(path):
    """A head without its end, up to HEADER_BYTES."""
    first = head(path)[:-2]
    n = (HEADER_BYTES - len(first)) // HEADER_LINE_BYTES
    names = ("X-%02d: " % i for i in range(n))
    return first + b"".join(
        (name + "y" * (HEADER_LINE_BYTES - len(name) - 2) + "\r\n").encode()
        for name in names)


def sent_by_all(crowd, path):
    """Returns what each connection sends, and what it then repeats."""
    length = "Content-Length: %d"
    chunked = head(path, "Transfer-Encoding: chunked")
    if crowd == "whole":
        return head(path, length % BODY_BYTES) + body(), b""
    if crowd == "open":
        return (head(path, length % BODY_BYTES) + body())[:-1], b""
    if crowd == "chunked":
        return (chunked + chunks(body(), [BLOCK_BYTES]))[:-1], b""
    if crowd == "tiny-chunks":
        return (chunked + chunks(body(), range(1, 17)))[:-1], b""
    if crowd == "announced":
        return head(path, length % ANNOUNCED_BYTES), b"x" * BLOCK_BYTES
    if crowd == "endless":
        return chunked, chunks(b"x" * BLOCK_BYTES, [BLOCK_BYTES])
    if crowd == "headers":
        return header_lines(path), b""
    sys.exit("unknown crowd %s" % crowd)


class Client:
    """One connection, with the rest of what it sends."""

    def __init__(self, address, first, repeated):
        self.rest = memoryview(first)
        self.repeated = repeated
        self.sent = 0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self, max_bytes):
        """Sends a piece. Returns False if nothing is left to be sent."""
        try:
            n = self.socket.send(self.rest[:max_bytes])
        except BlockingIOError:
            return True
        except OSError:  # the server closed the connection
            self.close()
            return False
        self.sent += n
        self.rest = self.rest[n:]
        if not self.rest and self.sent + len(self.repeated) <= ENDLESS_BYTES:
            self.rest = memoryview(self.repeated)
        return bool(self.rest)

    def close(self):
        self.socket.close()

    def is_open(self):
        return self.socket.fileno() >= 0


def send_all(clients):
    """Every client that can write sends one block a turn."""
    end = time.monotonic() + SEND_MAX_S
    with selectors.DefaultSelector() as selector:
        for client in clients:
            selector.register(client.socket, selectors.EVENT_WRITE, client)
        while selector.get_map() and time.monotonic() < end:
            for key, _ in selector.select(0.1):
                client = key.data
                selector.unregister(key.fileobj)
                if client.send(BLOCK_BYTES):
                    selector.register(client.socket, selectors.EVENT_WRITE,
                                      client)


def send_slowly(clients):
    """Every client sends one header line a turn."""
    end = time.monotonic() + SEND_MAX_S
    waiting = clients
    while waiting and time.monotonic() < end:
        began = time.monotonic()
        waiting = [client for client in waiting
                   if client.send(HEADER_LINE_BYTES)]
        time.sleep(max(HEADER_PAUSE_S - (time.monotonic() - began), 0))


def connect_idle(address):
    """Connections of which every second one sends half a request line."""
    clients = [Client(address, b"GET /rea" if n % 2 else b"", b"")
               for n in range(COUNTS["connections"])]
    send_all([client for client in clients if client.rest])
    return clients


def calm(address, path):
    """Prints the status of one request with the body on standard input.

    The body is JSON; spaces before its last byte bring it to BODY_BYTES.
    """
    text = sys.stdin.buffer.read().strip()
    padded = text[:-1].ljust(BODY_BYTES - 1) + text[-1:]
    with socket.create_connection(address, timeout=CALM_MAX_S) as connection:
        connection.sendall(head(path, "Content-Length: %d" % len(padded),
                                "Connection: close") + padded)
        answer = connection.recv(BLOCK_BYTES)
    print(answer.split(b" ")[1].decode() if b" " in answer else "none")


def unread_bytes(port):
    """What the kernel holds of what was sent to this port."""
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == port and fields[3] == "01":
                total += int(fields[4].split(":")[1], 16)
    return total


def wait_until_read(port):
    """Returns when the server has read all, or after READ_MAX_S."""
    end = time.monotonic() + READ_MAX_S
    while unread_bytes(port) > 0 and time.monotonic() < end:
        time.sleep(READ_POLL_S)


def hold():
    """Waits until standard input ends, or HOLD_MAX_S."""
    select.select([sys.stdin], [], [], HOLD_MAX_S)


def main():
    crowd, where, path = sys.argv[1:4]
    host, port = where.rsplit(":", 1)
    address = (host, int(port))
    if crowd == "calm":
        calm(address, path)
        return
    if crowd == "connections":
        clients = connect_idle(address)
    else:
        first, repeated = sent_by_all(crowd, path)
        clients = [Client(address, first, repeated)
                   for _ in range(COUNTS[crowd])]
        send = send_slowly if crowd == "headers" else send_all
        send(clients)
    wait_until_read(address[1])
    print("held: %d of %d, %d bytes" % (
        sum(client.is_open() for client in clients), len(clients),
        sum(client.sent for client in clients)), flush=True)
    hold()


main()

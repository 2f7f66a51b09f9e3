#!/usr/bin/env python3
"""The links of one executor to the control processes.

SIGUSR1 cuts them in both directions, SIGUSR2 joins them. During a cut nothing
is passed on and nobody is told; bytes that were held up are lost if their
sender has closed the channel by the end of the cut.

Usage: proxy.py LISTEN=TARGET...
"""
import select
import signal
import socket
import struct
import sys
import time

CHUNK = 65536
IDLE_MS = 50
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RESET = struct.pack("ii", 1, 0)


class Links:
    def __init__(self, pairs):
        self.is_cut = False
        self.listeners = {}
        self.other = {}  # socket -> its peer
        self.held = {}  # socket -> bytes to be sent to it
        for pair in pairs:
            at, target = (text.split(":") for text in pair.split("="))
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((at[0], int(at[1])))
            listener.listen(256)
            listener.setblocking(False)
            self.listeners[listener] = (target[0], int(target[1]))

    def accept(self, listener):
        try:
            near, _ = listener.accept()
        except OSError:
            return
        if self.is_gone(near):
            near.close()
            return
        far = socket.socket()
        far.setblocking(False)
        near.setblocking(False)
        far.connect_ex(self.listeners[listener])
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.held[end] = b""
        self.other[near], self.other[far] = far, near

    @staticmethod
    def is_gone(end):
        poll = select.poll()
        poll.register(end, select.POLLRDHUP)
        return any(events & GONE for _, events in poll.poll(0))

    def drop(self, end):
        for one in (end, self.other.get(end)):
            if one in self.other:
                del self.other[one], self.held[one]
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                one.close()

    def read(self, end):
        try:
            data = end.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.held[self.other[end]] += data
        else:
            self.drop(end)

    def write(self, end):
        try:
            sent = end.send(self.held[end])
            self.held[end] = self.held[end][sent:]
        except BlockingIOError:
            pass
        except OSError:
            self.drop(end)

    def turn(self):
        poll = select.poll()
        sockets = {}
        for one in list(self.listeners) + list(self.other):
            events = select.POLLIN
            if self.held.get(one):
                events |= select.POLLOUT
            poll.register(one, events)
            sockets[one.fileno()] = one
        for number, events in poll.poll(IDLE_MS):
            one = sockets[number]
            if self.is_cut:
                return
            if one in self.listeners:
                self.accept(one)
                continue
            if one in self.other and self.held[one] and \
                    events & select.POLLOUT:
                self.write(one)
            if one in self.other and events & (select.POLLIN | GONE):
                self.read(one)

    def join(self):
        for end in list(self.other):
            if end in self.other and self.is_gone(end):
                self.drop(end)


def main():
    links = Links(sys.argv[1:])
    wanted = {"cut": False}
    signal.signal(signal.SIGUSR1, lambda *_: wanted.update(cut=True))
    signal.signal(signal.SIGUSR2, lambda *_: wanted.update(cut=False))
    while True:
        if wanted["cut"] != links.is_cut:
            links.is_cut = wanted["cut"]
            if not links.is_cut:
                links.join()
        if links.is_cut:
            time.sleep(0.005)
        else:
            links.turn()


main()

"""A TCP proxy on loopback that can cut off single processes: it resets their
connections, or discards all data on them, and serves those of all others."""

import os
import socket
import struct
import time

from process.fault_proxy import FaultProxy


# Of <linux/netlink.h>, <linux/sock_diag.h> and <linux/inet_diag.h>.
NETLINK_SOCK_DIAG = 4
NLM_F_REQUEST = 1
SOCK_DIAG_BY_FAMILY = 20
NETLINK_HEADER = struct.Struct("=IHHII")
# Family, protocol, extensions, padding, states; then the ports and addresses
# of both ends, the interface and a cookie.
DIAG_REQUEST = struct.Struct("=BBBBI")
DIAG_PORTS = struct.Struct("!HH4s12x4s12x")
DIAG_ANY = struct.pack("=I8s", 0, b"\xff" * 8)
ALL_STATES = 0xffffffff
# Where a reply holds the inode.
INODE = struct.Struct("=I")
INODE_OFFSET = NETLINK_HEADER.size + 68


def _inode_of(local, remote):
    """Returns the inode of the socket with these addresses, (IP, port) each;
    None when it is closed. Asks for this socket alone: the table of all sockets
    of the machine may be long."""
    body = (DIAG_REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                              ALL_STATES) +
            DIAG_PORTS.pack(local[1], remote[1], socket.inet_aton(local[0]),
                            socket.inet_aton(remote[0])) + DIAG_ANY)
    head = NETLINK_HEADER.pack(NETLINK_HEADER.size + len(body),
                               SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM,
                       NETLINK_SOCK_DIAG) as kernel:
        kernel.send(head + body)
        reply = kernel.recv(4096)
    if NETLINK_HEADER.unpack_from(reply)[1] != SOCK_DIAG_BY_FAMILY:
        return None
    return INODE.unpack_from(reply, INODE_OFFSET)[0]


def _links(pid):
    """Returns what the descriptors of a process refer to."""
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return
    for name in names:
        try:
            yield os.readlink(os.path.join(folder, name))
        except OSError:
            pass  # Closed meanwhile.


def _owns(pid, inode):
    return f"socket:[{inode}]" in _links(pid)


class SourceProxy(FaultProxy):
    """Proxy for one address; connections of `cut_off` processes, by their ids,
    are reset, new ones after `reset_delay` seconds. With `hangs` they stay
    open and are taken, and what is sent on them is lost."""

    def __init__(self, ip, target):
        self.cut_off = frozenset()
        self.reset_delay = 0.0
        self.hangs = False
        self.hung = frozenset()
        super().__init__(ip, target)

    def cut(self, pids):
        """Cuts these processes off, and no others."""
        self.cut_off = frozenset(pids)
        hung = set()
        for sock in list(self.sockets):
            try:
                is_cut = self._is_cut(sock)
            except OSError:
                continue
            if is_cut and self.hangs:
                hung.add(sock)
            elif is_cut:
                self._reset(sock)
        self.hung = frozenset(hung)

    def discards(self, caller):
        return caller in self.hung or super().discards(caller)

    def admits(self, sock):
        try:
            is_admitted = not self.cut_off or not self._is_cut(sock)
        except OSError:
            is_admitted = False
        if not is_admitted and self.hangs:
            self.hung |= {sock}
            return True
        if not is_admitted:
            time.sleep(self.reset_delay)
        return is_admitted

    def _is_cut(self, sock):
        inode = _inode_of(sock.getpeername(), sock.getsockname())
        return inode is None or any(_owns(pid, inode)
                                    for pid in self.cut_off)

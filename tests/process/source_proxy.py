"""A TCP proxy on loopback that can cut off single processes: it resets their
connections and serves those of all others."""

import os
import time

from process.fault_proxy import FaultProxy


def _hex(address):
    ip, port = address
    return ("".join(f"{int(part):02X}" for part in reversed(ip.split("."))) +
            f":{port:04X}")


def _inode_of(local, remote):
    """Returns the inode of the socket with these addresses, (IP, port) each;
    None when it is closed."""
    wanted = [_hex(local), _hex(remote)]
    # The table may lack an entry while others come and go.
    for _ in range(5):
        with open("/proc/net/tcp", encoding="ascii") as table:
            for line in table:
                fields = line.split()
                if fields[1:3] == wanted:
                    return fields[9]
    return None


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
    are reset, new ones after `reset_delay` seconds."""

    def __init__(self, ip, target):
        self.cut_off = frozenset()
        self.reset_delay = 0.0
        super().__init__(ip, target)

    def cut(self, pids):
        """Cuts these processes off, and no others."""
        self.cut_off = frozenset(pids)
        for sock in list(self.sockets):
            try:
                is_cut = self._is_cut(sock)
            except OSError:
                continue
            if is_cut:
                self._reset(sock)

    def admits(self, sock):
        try:
            is_admitted = not self.cut_off or not self._is_cut(sock)
        except OSError:
            is_admitted = False
        if not is_admitted:
            time.sleep(self.reset_delay)
        return is_admitted

    def _is_cut(self, sock):
        inode = _inode_of(sock.getpeername(), sock.getsockname())
        return inode is None or any(_owns(pid, inode)
                                    for pid in self.cut_off)

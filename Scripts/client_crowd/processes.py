"""What the kernel knows of a process: its memory, its descriptors, its sockets."""

import os
import socket
import struct


def resident_bytes(pid, field="VmRSS"):
    """Resident memory of a process; with the field VmHWM its peak."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) * 1024
    return 0


def open_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def unread_bytes(address):
    """Bytes that the sockets of an address received and the process did not read."""
    local = f"{struct.unpack('<I', socket.inet_aton(address))[0]:08X}:"
    unread = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            # The queue of a listening socket counts connections.
            if fields[1].startswith(local) and fields[3] != "0A":
                unread += int(fields[4].split(":")[1], 16)
    return unread

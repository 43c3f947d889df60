"""A Raft cluster in virtual time: simulated disks, network, clocks, faults and clients, drawn from one seed.

Members are whole (replica, sessions, roster, founding on empty disks); only sockets and files are missing.
The checkers read what members emit and what clients saw, and share no code with the members.
"""

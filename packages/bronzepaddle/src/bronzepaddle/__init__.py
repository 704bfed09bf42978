"""Core of the bronzepaddle router: shared types and decision logic.

This package contains what all processes of the system have in common: the
types of identifiers, the verdict that each hop returns, the configuration, the
objects that record who owns which key, and the logic of routing, assignment,
leases, admission and retries.  It does no communication of its own.  Each of
the packages next to it communicates with one kind of peer (callers, backend
servers, the platform, other processes), and ``bronzepaddle_node`` composes
them.
"""

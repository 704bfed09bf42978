"""Decisions of the bronzepaddle router.

This package holds what every process of the system agrees on: the ids, the
verdict that each hop returns, the configuration bundle, the cell object that
says who owns which key, and the decisions about leases, admission and
retries.  It talks to nobody: the packages beside it each talk to one peer
(callers, backend servers, the platform, other processes), and
``bronzepaddle_node`` wires them together.
"""

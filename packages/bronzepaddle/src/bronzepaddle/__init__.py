"""Core of the bronzepaddle router: shared types and decision logic.

This package contains what all processes of the system have in common: the
types of identifiers, the verdict that each hop returns, the configuration, the
objects that record who owns which key, and the logic of routing, assignment,
leases, admission and retries.  It does no communication of its own.  Each of
the packages next to it communicates with one kind of peer (callers, backend
servers, the platform, other processes), and ``bronzepaddle_node`` composes
them.

Terms that recur in all packages:

- The *platform* is the environment in which the system is deployed.  It offers
  the *store*, which keeps versioned objects and supports conditional writes.
- A *member* is a process of the system together with the backend server on
  the same VM.  A *peer* is another member.
- An *announcement* is the message by which a backend server repeatedly tells
  the process on its VM that it is up and which service it has.  A *run* of a
  backend server lasts from one of its starts to the next.
- A *status* is the message by which a sidecar process repeatedly tells its
  peers its load and the keys that its backend server holds.
- A *grant* makes a member the owner of keys.  Its fencing *token* is higher
  than those of earlier grants of the same keys.
- A *slot* of a backend server lets it run one request at a time.  A *hash
  slot* is a part of the keys of a service.
- A *cell* is a group of members that acknowledge each other's heartbeats.  Its
  configuration is a *bundle*; that of sidecar processes is a route table.
"""

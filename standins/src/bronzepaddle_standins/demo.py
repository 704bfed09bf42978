"""The command ``bronzepaddle demo``: a fleet inside one process.

Sends requests of each priority to a service with keys and to one without,
and prints for each response the server and the verdict.  Then stops the
owner of a key and prints the time until the key is served again.
"""

import time
import typing

import click
import eliot
import urllib3
from bronzepaddle_callers import streaming_app

from bronzepaddle_standins import backend, callers, fleet

BUNDLE: typing.Final = """
[bundle]
version = 1

[priority urgent]
rank = 0
share = 0.6
deadline-s = 8

[priority browse]
rank = 1
share = 0.2
ceiling = 0.8

[priority reports]
rank = 2
share = 0.1
ceiling = 0.5

[service catalogue]
prefix = /catalogue
key = path 0
slots = 64
priority = browse

[service reports]
prefix = /reports
priority = reports
"""

KEY_PATH: typing.Final = "/catalogue/finance-101"
POLL_S: typing.Final = 0.02
FAILOVER_TIMEOUT_S: typing.Final = 20.0


@click.command()
def demo() -> None:
    """Route requests and replace a lost owner in a fleet of stand-ins."""
    # The log messages of the routers are discarded.
    eliot.add_destinations(lambda message: None)
    demo_fleet = fleet.Fleet(BUNDLE, _vms())
    click.echo("starting a platform, 5 backend servers and 5 processes")
    demo_fleet.start()
    try:
        demo_fleet.wait_until_served([KEY_PATH, "/reports/annual"])
        _send_each_priority(demo_fleet)
        _lose_owner(demo_fleet)
    finally:
        demo_fleet.stop()


def _vms() -> list[fleet.Vm]:
    """Return three VMs of the keyed service and two of the other."""
    keyed = backend.Behaviour(service="catalogue")
    unkeyed = backend.Behaviour(service="reports")
    return [
        fleet.Vm("node-1", "zone-a", keyed),
        fleet.Vm("node-2", "zone-b", keyed),
        fleet.Vm("node-3", "zone-c", keyed),
        fleet.Vm("node-4", "zone-a", unkeyed),
        fleet.Vm("node-5", "zone-b", unkeyed),
    ]


def _send_each_priority(demo_fleet: fleet.Fleet) -> None:
    """Send three requests of each priority to one router."""
    click.echo("\nall requests are sent to node-4:")
    for priority in ("urgent", "browse", "reports"):
        for method, path in (
            ("GET", KEY_PATH),
            ("POST", "/catalogue/board-basics/enrol"),
            ("GET", "/reports/annual"),
        ):
            _send(demo_fleet, "node-4", priority, method, path)


def _send(
    demo_fleet: fleet.Fleet,
    router_name: str,
    priority: str,
    method: str,
    path: str,
) -> urllib3.BaseHTTPResponse:
    """Send a request to a router and print the response."""
    headers = {streaming_app.PRIORITY_HEADER: priority}
    if method == "POST":
        headers[streaming_app.IDEMPOTENCY_KEY_HEADER] = callers.uuid7()
    started = time.monotonic()
    response = demo_fleet.http.request(
        method, demo_fleet.url(router_name) + path, headers=headers
    )
    took_ms = (time.monotonic() - started) * 1000
    click.echo(
        f"  {priority:8} {method:4} {path:30} {response.status} "
        f"{response.headers.get(streaming_app.SERVED_BY_HEADER, '-'):7} "
        f"{response.headers.get(streaming_app.VERDICT_HEADER, '-'):12} "
        f"{took_ms:6.1f} ms"
    )
    return response


def _lose_owner(demo_fleet: fleet.Fleet) -> None:
    """Stop the owner of a key and wait until the key is served again."""
    owner = demo_fleet.owner("catalogue", "finance-101", "node-4")
    assert owner is not None
    click.echo(f"\n{owner} owns the key finance-101 and is stopped now")
    demo_fleet.lose(owner)
    lost_at = time.monotonic()
    while time.monotonic() - lost_at < FAILOVER_TIMEOUT_S:
        response = demo_fleet.http.request(
            "GET",
            demo_fleet.url("node-4") + KEY_PATH,
            headers={streaming_app.DEADLINE_MS_HEADER: "200"},
        )
        if response.status == 200:
            break
        time.sleep(POLL_S)
    else:
        raise click.ClickException("the key was not served again")
    took_s = time.monotonic() - lost_at
    new_owner = response.headers[streaming_app.SERVED_BY_HEADER]
    click.echo(f"served again by {new_owner}, {took_s:.2f} s after the loss")

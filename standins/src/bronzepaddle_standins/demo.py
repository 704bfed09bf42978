"""``bronzepaddle demo``: the whole system inside one process.

Requests of each priority go to a keyed and an unkeyed service, each answer
shown with its server and verdict; then the owner of a key is lost, and the
time until the key is served again is shown.
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

KEY: typing.Final = "/catalogue/finance-101"
POLL_S: typing.Final = 0.02
GIVE_UP_S: typing.Final = 20.0


@click.command()
def demo() -> None:
    """Run the main job on embedded stand-ins."""
    eliot.add_destinations(lambda message: None)
    running = fleet.Fleet(BUNDLE, _places())
    click.echo("starting a platform, 5 backend servers and 5 processes")
    running.start()
    try:
        running.wait_until_served([KEY, "/reports/annual"])
        _send_each_priority(running)
        _lose_the_owner(running)
    finally:
        running.stop()


def _places() -> list[fleet.Place]:
    keyed = backend.Behaviour(service="catalogue")
    plain = backend.Behaviour(service="reports")
    return [
        fleet.Place("node-1", "zone-a", keyed),
        fleet.Place("node-2", "zone-b", keyed),
        fleet.Place("node-3", "zone-c", keyed),
        fleet.Place("node-4", "zone-a", plain),
        fleet.Place("node-5", "zone-b", plain),
    ]


def _send_each_priority(running: fleet.Fleet) -> None:
    click.echo("\nevery request enters at node-4:")
    for priority in ("urgent", "browse", "reports"):
        for method, path in (
            ("GET", KEY),
            ("POST", "/catalogue/board-basics/enrol"),
            ("GET", "/reports/annual"),
        ):
            _send(running, "node-4", priority, method, path)


def _send(
    running: fleet.Fleet, name: str, priority: str, method: str, path: str
) -> urllib3.BaseHTTPResponse:
    headers = {streaming_app.PRIORITY: priority}
    if method == "POST":
        headers[streaming_app.IDEMPOTENCY_KEY] = callers.uuid7()
    began = time.monotonic()
    answer = running.http.request(
        method, running.url(name) + path, headers=headers
    )
    took_ms = (time.monotonic() - began) * 1000
    click.echo(
        f"  {priority:8} {method:4} {path:30} {answer.status} "
        f"{answer.headers.get(streaming_app.SERVED_BY, '-'):7} "
        f"{answer.headers.get(streaming_app.VERDICT, '-'):12} "
        f"{took_ms:6.1f} ms"
    )
    return answer


def _lose_the_owner(running: fleet.Fleet) -> None:
    owner = running.owner("catalogue", "finance-101", "node-4")
    assert owner is not None
    click.echo(f"\n{owner} owns the key finance-101 and is lost now")
    running.lose(owner)
    lost = time.monotonic()
    while time.monotonic() - lost < GIVE_UP_S:
        answer = running.http.request(
            "GET",
            running.url("node-4") + KEY,
            headers={streaming_app.DEADLINE_MS: "200"},
        )
        if answer.status == 200:
            break
        time.sleep(POLL_S)
    else:
        raise click.ClickException("the key was not served again")
    took_s = time.monotonic() - lost
    heir = answer.headers[streaming_app.SERVED_BY]
    click.echo(f"served again by {heir}, {took_s:.2f} s after the loss")

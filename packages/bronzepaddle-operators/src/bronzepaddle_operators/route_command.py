"""Formats the explanation of where a request would be sent."""

import collections.abc

from bronzepaddle import status


def lines(
    explanation: status.RouteExplanation,
) -> collections.abc.Iterator[str]:
    """Yield the lines that explain a route, the best server first."""
    route = explanation.route or "no route"
    service = explanation.service or "no service"
    yield (
        f"{route} to {service}, {explanation.relative_cost:.2f} times the "
        f"usual cost: {explanation.reason}"
    )
    for candidate in explanation.candidates:
        cold = ", cold" if candidate.cold else ""
        yield (
            f"  {candidate.member:16} {candidate.zone:10} "
            f"expected {candidate.latency_s:.3f} s: "
            f"starts in {candidate.backlog_s:.3f} s, "
            f"{candidate.service_s:.3f} s a request, "
            f"{candidate.load} requests on {candidate.slots} slots{cold}, "
            f"heard {candidate.heard_ago_s:.1f} s ago"
        )

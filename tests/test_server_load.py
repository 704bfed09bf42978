"""Tests of the load that backend servers report."""

import pytest
from bronzepaddle_backend import server_load

NAME = "Server-Load"


@pytest.mark.parametrize(
    ("value", "expected"),
    [("3,0,8,100", 1.0), ("3,1,8,250", 2.5), (" 3 , 1 , 8 , 50 ", 0.5)],
)
def test_fourth_figure_is_the_slowness(value: str, expected: float) -> None:
    headers = (("Content-Type", "text/plain"), ("server-load", value))
    assert server_load.slowness(headers, NAME) == expected


@pytest.mark.parametrize(
    "value",
    [
        "",
        "3,0,8",
        "3,0,8,",
        "3,0,8,0",
        "3,0,8,-5",
        "3,0,8,nan",
        "3,0,8,1e9",
        "3,0,8,100,7",
        "3,0,8,\u0661",
        "3,0,8," + "9" * 5000,
    ],
)
def test_malformed_load_is_ignored(value: str) -> None:
    assert server_load.slowness(((NAME, value),), NAME) is None


def test_no_header_is_no_report() -> None:
    headers = (("Content-Type", "text/plain"),)
    assert server_load.slowness(headers, NAME) is None
    assert server_load.slowness(headers, "") is None

"""Exponentially weighted moving averages."""


def update_ewma(known: float | None, newest: float, weight: float) -> float:
    """Return the moving average updated by the newest value.

    ``weight`` is the weight of the newest value, from 0 to 1.  The first
    value, when ``known`` is None, becomes the average.
    """
    if known is None:
        return newest
    return known + weight * (newest - known)

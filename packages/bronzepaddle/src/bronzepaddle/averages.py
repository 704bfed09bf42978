"""Exponentially weighted moving averages."""


def update_ewma(average: float | None, newest: float, weight: float) -> float:
    """Return the moving average updated by the newest value.

    ``weight`` is the weight of the newest value, from 0 to 1.  The first
    value, when ``average`` is None, becomes the average.
    """
    if average is None:
        return newest
    return average + weight * (newest - average)

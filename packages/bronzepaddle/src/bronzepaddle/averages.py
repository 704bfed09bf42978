"""Running means that follow what is measured."""


def update_ewma(known: float | None, newest: float, weight: float) -> float:
    """Return a mean with the newest value taken in; the first one is it.

    ``weight`` is the newest value's share of the result, 0 to 1.
    """
    if known is None:
        return newest
    return known + weight * (newest - known)

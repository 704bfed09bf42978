"""Expected cost of a request in relation to others of its kind.

Requests of one kind can differ in cost by a factor of ten.  Which of their
features tell the costs apart differs between deployments, so it is learned.
``CostModel`` gets the features of each finished request and the ratio of its
run time to the mean of its kind.  It returns the factor by which a new request
is expected to differ from that mean, and how long a running request is
expected to go on.  Ratios instead of times are learned because they stay the
same when a server becomes slow.

Features are compared in a fixed order.  Each one explains what the earlier
ones left unexplained, and counts only while it makes the predictions better.
A value of a feature with few requests hardly counts.  The load that this
answers: costs that depend on the path, the body, the key or the caller.
"""

import collections
import collections.abc
import math
import typing

from bronzepaddle.load import key_load

Feature: typing.TypeAlias = str | int | None
"""The value of a feature; None if a request does not have the feature."""

Features: typing.TypeAlias = tuple[Feature, ...]
"""The values of the features, always in the same order."""

DEFAULT_MAX_VALUES: typing.Final = 512
"""Number of values of features that are remembered by default."""

MAX_KINDS: typing.Final = 64
"""Number of kinds of requests that are remembered."""

PRIOR_SAMPLES: typing.Final = 4.0
"""Number of requests after which a value of a feature counts half."""

MAX_SAMPLES: typing.Final = 30.0
"""Number of requests over which means are taken; older ones are forgotten."""

AGE_S: typing.Final = 60.0
"""Time constant with which a value is forgotten that has no requests."""

CORRECTED_AGE_S: typing.Final = 1.0
"""Age from which a value is replaced by a run that corrects it."""

MIN_EXPLAINED_SHARE: typing.Final = 0.2
"""Share of the squared error that a feature must explain to count."""

ERROR_WEIGHT: typing.Final = 0.02
"""Weight of the newest squared error in its moving average."""

MAX_LOG_RATIO: typing.Final = 5 * math.log(2.0)
"""Limit on the logarithm of a ratio, so that no single request dominates."""

BIN_WIDTH: typing.Final = math.log(2.0) / 2
"""Width of the bins of the histogram of logarithmic ratios."""

BINS: typing.Final = round(2 * MAX_LOG_RATIO / BIN_WIDTH)

HISTOGRAM_DECAY: typing.Final = 0.995
"""Factor by which the older requests in a histogram count less."""

HISTOGRAM_PRIOR: typing.Final = 20.0
"""Number of assumed requests with exponentially distributed run times."""

MAX_SHAPE_SEGMENTS: typing.Final = 6
MAX_WORD_LENGTH: typing.Final = 24


def request_features(
    method: str, target: str, body_bytes: int, key: int, caller: str
) -> Features:
    """Return the features of a request.

    These are the shape of its target, the order of magnitude of its body's
    length, its group of keys (None for a negative key) and its caller.
    """
    return (
        target_shape(method, target),
        body_bytes.bit_length(),
        None if key < 0 else key >> key_load.GROUP_BITS,
        caller,
    )


def target_shape(method: str, target: str) -> str:
    """Return what the targets of similar requests have in common.

    These are the method, the first path segment, the words among the further
    ones and the names of the query parameters.
    """
    path, _, query = target.partition("?")
    segments = path.split("/", MAX_SHAPE_SEGMENTS + 1)[1:]
    shape = [
        method[:MAX_WORD_LENGTH],
        *(segment[:MAX_WORD_LENGTH] for segment in segments[:1]),
        *map(_segment_kind, segments[1:]),
    ]
    if query:
        parameters = query.split("&", MAX_SHAPE_SEGMENTS)
        shape.append("?")
        shape.extend(
            parameter.partition("=")[0][:MAX_WORD_LENGTH]
            for parameter in parameters[:MAX_SHAPE_SEGMENTS]
        )
    return "/".join(shape)


def _segment_kind(segment: str) -> str:
    """Return a word itself, and a placeholder for a number or an id."""
    if segment.isdigit():
        return "#"
    is_word = len(segment) <= MAX_WORD_LENGTH and segment.isalpha()
    return segment if is_word else "*"


class _Value:
    """The mean logarithmic ratio of the requests with a value of a feature."""

    __slots__ = ("mean", "samples", "updated_at")

    def __init__(self, now: float) -> None:
        self.mean = 0.0
        self.samples = 0.0
        self.updated_at = now

    def effect(self, now: float) -> float:
        """Return the expected logarithmic ratio, lower with few samples."""
        samples = self.samples * math.exp((self.updated_at - now) / AGE_S)
        return self.mean * samples / (samples + PRIOR_SAMPLES)

    def add(self, residual: float, now: float) -> None:
        """Include the logarithmic ratio of one request."""
        samples = self.samples * math.exp((self.updated_at - now) / AGE_S)
        self.samples = min(MAX_SAMPLES, samples + 1)
        self.mean += (residual - self.mean) / self.samples
        self.updated_at = now


class Usefulness:
    """Whether a prediction makes the squared error smaller."""

    __slots__ = ("error_with", "error_without")

    def __init__(self) -> None:
        self.error_without = 0.0
        self.error_with = 0.0

    def record(self, residual: float, effect: float) -> None:
        """Compare the error with that of a prediction made beforehand."""
        self.error_without += ERROR_WEIGHT * (
            residual * residual - self.error_without
        )
        error = residual - effect
        self.error_with += ERROR_WEIGHT * (error * error - self.error_with)

    @property
    def counts(self) -> bool:
        """Return whether the prediction explains enough to be used."""
        return self.error_with < (1 - MIN_EXPLAINED_SHARE) * self.error_without


class RatioHistogram:
    """The ratios of actual to expected cost, on a logarithmic scale.

    Older requests count less.  Until there are some, run times are taken for
    exponentially distributed.
    """

    def __init__(self) -> None:
        self.weights = [0.0] * BINS
        # For each bin: the weight of it and of all higher ones, and the sum of
        # their ratios.
        self.weight_above = [0.0] * (BINS + 1)
        self.ratios_above = [0.0] * (BINS + 1)

    def add(self, log_ratio: float) -> None:
        """Include the ratio of one request."""
        weights = [weight * HISTOGRAM_DECAY for weight in self.weights]
        weights[_bin(log_ratio)] += 1.0
        self.weights = weights
        weight_above = ratios_above = 0.0
        for index in range(BINS - 1, -1, -1):
            weight_above += weights[index]
            ratios_above += weights[index] * _BIN_RATIOS[index]
            self.weight_above[index] = weight_above
            self.ratios_above[index] = ratios_above

    def remaining(self, elapsed_ratio: float) -> float:
        """Return the expected rest of a cost of which a part has elapsed.

        Both are multiples of the expected cost.  The expected costs may all
        have been too low or too high, so the mean ratio is taken for 1.
        """
        mean = (self.ratios_above[0] + HISTOGRAM_PRIOR) / (
            self.weight_above[0] + HISTOGRAM_PRIOR
        )
        elapsed_ratio *= mean
        if elapsed_ratio <= _LOWEST_EDGE:
            weight = self.weight_above[0]
            rest = self.ratios_above[0] - elapsed_ratio * weight
        else:
            bin_ = _bin(math.log(elapsed_ratio))
            weight = self.weight_above[bin_ + 1]
            rest = self.ratios_above[bin_ + 1] - elapsed_ratio * weight
            # Of the bin itself, the requests that take longer.
            width = max(0.0, _UPPER_EDGES[bin_] - elapsed_ratio)
            share = width / (_UPPER_EDGES[bin_] * (1 - _EDGE_RATIO))
            weight += share * self.weights[bin_]
            rest += share * self.weights[bin_] * width / 2
        return (rest / mean + HISTOGRAM_PRIOR) / (weight + HISTOGRAM_PRIOR)


def _bin(log_ratio: float) -> int:
    index = int((log_ratio + MAX_LOG_RATIO) / BIN_WIDTH)
    return max(0, min(BINS - 1, index))


_BIN_RATIOS: typing.Final = tuple(
    math.exp((index + 0.5) * BIN_WIDTH - MAX_LOG_RATIO)
    for index in range(BINS)
)
"""The ratio in the middle of each bin."""

_EDGE_RATIO: typing.Final = math.exp(-BIN_WIDTH)
_LOWEST_EDGE: typing.Final = math.exp(-MAX_LOG_RATIO)
_UPPER_EDGES: typing.Final = tuple(
    math.exp((index + 1) * BIN_WIDTH - MAX_LOG_RATIO) for index in range(BINS)
)
"""The ratio at the upper edge of each bin."""


class _Kind:
    """What is known of one kind of request."""

    def __init__(self) -> None:
        self.samples = 0.0
        # Mean logarithmic ratio of all requests: the effects of the features
        # are deviations from it.
        self.mean = 0.0
        self.usefulness: list[Usefulness] = []
        self.ratios = RatioHistogram()


class CostModel:
    """Learns the relative costs of requests from those that have finished.

    At most ``max_values`` values of features are remembered, those used last;
    with 0, all requests of a kind are expected to cost the same.
    """

    def __init__(self, max_values: int = DEFAULT_MAX_VALUES) -> None:
        self.max_values = max_values
        self.kinds: collections.OrderedDict[str, _Kind] = (
            collections.OrderedDict()
        )
        self.values: collections.OrderedDict[
            tuple[str, int, Feature], _Value
        ] = collections.OrderedDict()

    def factor(self, kind: str, features: Features, now: float) -> float:
        """Return the expected cost as a multiple of the mean of the kind."""
        effect = sum(
            value.effect(now) for value in self._counting(kind, features)
        )
        return math.exp(effect) if effect else 1.0

    def _counting(
        self, kind: str, features: Features
    ) -> collections.abc.Iterator[_Value]:
        """Yield the known values of the features that count."""
        known = self.kinds.get(kind)
        if known is None:
            return
        for index, usefulness in enumerate(known.usefulness[: len(features)]):
            if usefulness.counts:
                value = self.values.get((kind, index, features[index]))
                if value is not None:
                    yield value

    def record(
        self,
        kind: str,
        features: Features,
        ratio: float,
        now: float,
        corrects: bool = False,
    ) -> None:
        """Learn from a finished request.

        ``ratio`` is that of its cost to the mean of its kind.  If it
        ``corrects`` the model, it replaces what is known of its features, but
        for what others have taught lately.
        """
        if not self.max_values or ratio <= 0:
            return
        known = self._kind(kind, len(features))
        log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(ratio)))
        residual = log_ratio - known.mean
        known.samples = min(MAX_SAMPLES, known.samples + 1)
        known.mean += residual / known.samples
        for index, feature in enumerate(features):
            if feature is None:
                continue
            value = self._value((kind, index, feature), now)
            if corrects and now - value.updated_at > CORRECTED_AGE_S:
                value.samples = 0.0
            effect = value.effect(now)
            usefulness = known.usefulness[index]
            usefulness.record(residual, effect)
            value.add(residual, now)
            if usefulness.counts:
                residual -= effect
        known.ratios.add(residual + known.mean)

    def _kind(self, kind: str, features: int) -> _Kind:
        known = self.kinds.get(kind)
        if known is None:
            known = self.kinds[kind] = _Kind()
            if len(self.kinds) > MAX_KINDS:
                self.kinds.popitem(last=False)
        self.kinds.move_to_end(kind)
        while len(known.usefulness) < features:
            known.usefulness.append(Usefulness())
        return known

    def _value(self, key: tuple[str, int, Feature], now: float) -> _Value:
        value = self.values.get(key)
        if value is None:
            value = self.values[key] = _Value(now)
            if len(self.values) > self.max_values:
                self.values.popitem(last=False)
        else:
            self.values.move_to_end(key)
        return value

    def updated_at(self, kind: str, features: Features) -> float | None:
        """Return when the oldest counting value was updated, None if none."""
        return min(
            (value.updated_at for value in self._counting(kind, features)),
            default=None,
        )

    def remaining_s(
        self, kind: str, expected_s: float, elapsed_s: float
    ) -> float:
        """Return the expected rest of a run that has taken a while."""
        known = self.kinds.get(kind)
        if known is None or expected_s <= 0:
            return expected_s
        return expected_s * known.ratios.remaining(elapsed_s / expected_s)

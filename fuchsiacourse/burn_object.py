"""Stored object with the service-level counters of a zone and month."""

from __future__ import annotations

import json
import typing

from fuchsiacourse import errors

PREFIX = "burn/"
# Samples for burn rates are kept every five minutes for an hour, then hourly.
SAMPLE_INTERVAL_S = 300.0
FINE_SAMPLE_RETENTION_S = 3_600.0
SAMPLE_RETENTION_S = 72 * 3_600.0
# Maximum number of folded processes whose incarnations are kept to refuse
# their late reports.
MAX_FOLDED = 20_000

RowKey = tuple[str, str]


def key(availability_zone: str, month: str) -> str:
    """Returns the key of the object of a zone and month."""
    return f"{PREFIX}{availability_zone}/{month}"


class BurnRow:
    """Cumulative counts of one service and kind.

    Args:
        total: Number of requests.
        good: Number of requests answered completely and within the
            objective.
        worth: Worth of all requests.
        worth_served: Worth of the good requests.
    """

    __slots__ = ("total", "good", "worth", "worth_served")

    def __init__(
        self,
        *,
        total: int = 0,
        good: int = 0,
        worth: float = 0.0,
        worth_served: float = 0.0,
    ) -> None:
        self.total = total
        self.good = good
        self.worth = worth
        self.worth_served = worth_served

    @property
    def values(self) -> list[float]:
        """The counts in the order of the slots."""
        return [self.total, self.good, self.worth, self.worth_served]

    def add(self, other: BurnRow) -> BurnRow:
        """Returns the sum of two rows."""
        return _row(
            one + two
            for one, two in zip(self.values, other.values, strict=True)
        )

    def merge(self, other: BurnRow) -> BurnRow:
        """Returns the newest counts from two versions of the same row.

        Counters only grow, so the higher value of each is the newer one,
        and merging a report twice has no further effect.
        """
        return _row(
            max(one, two)
            for one, two in zip(self.values, other.values, strict=True)
        )


class BurnSample:
    """Totals of the zone at one moment, for burn rates.

    Args:
        at: Unix time in seconds.
        counts_by_key: Numbers of all and of good requests by service and
            kind.
    """

    __slots__ = ("at", "counts_by_key")

    def __init__(
        self, *, at: float, counts_by_key: dict[RowKey, tuple[int, int]]
    ) -> None:
        self.at = at
        self.counts_by_key = counts_by_key


class BurnObject:
    """Merges the counters of a zone's entries for one month.

    Args:
        availability_zone: Zone of the entries.
        month: Calendar month, ``2026-01``.
    """

    def __init__(self, *, availability_zone: str, month: str) -> None:
        self.availability_zone = availability_zone
        self.month = month
        self.rows_by_incarnation: dict[str, dict[RowKey, BurnRow]] = {}
        self.folded_rows_by_key: dict[RowKey, BurnRow] = {}
        self.folded: list[str] = []
        self.samples: list[BurnSample] = []

    def merge(
        self, incarnation: str, rows_by_key: dict[RowKey, BurnRow]
    ) -> bool:
        """Merges the cumulative rows of one entry process.

        Args:
            incarnation: Incarnation of the process.
            rows_by_key: Its rows by service and kind.

        Returns:
            False if the process is folded and the rows were dropped.
        """
        if incarnation in self.folded:
            return False
        held = self.rows_by_incarnation.setdefault(incarnation, {})
        for row_key, row in rows_by_key.items():
            held[row_key] = row.merge(held.get(row_key, BurnRow()))
        return True

    def fold(self, incarnation: str) -> None:
        """Adds the rows of a gone process to the common rows to save space.

        Later reports of the process are refused, because the sum no longer
        shows which of their counts it contains.
        """
        rows = self.rows_by_incarnation.pop(incarnation, None)
        if rows is None:
            return
        _add(self.folded_rows_by_key, rows)
        self.folded = [*self.folded, incarnation][-MAX_FOLDED:]

    def totals(self) -> dict[RowKey, BurnRow]:
        """Returns the counts of all processes by service and kind."""
        sums = dict(self.folded_rows_by_key)
        for rows in self.rows_by_incarnation.values():
            _add(sums, rows)
        return sums

    def sample(self, now: float) -> None:
        """Records the totals if the last sample is SAMPLE_INTERVAL_S old."""
        if self.samples and now - self.samples[-1].at < SAMPLE_INTERVAL_S:
            return
        counts = {
            row_key: (row.total, row.good)
            for row_key, row in self.totals().items()
        }
        self.samples.append(BurnSample(at=now, counts_by_key=counts))
        self.samples = _thin_out(self.samples, now)

    def encode(self) -> bytes:
        """Returns the JSON text of the object."""
        content = {
            "availability_zone": self.availability_zone,
            "month": self.month,
            "rows": {
                incarnation: _encode_rows(rows)
                for incarnation, rows in self.rows_by_incarnation.items()
            },
            "folded_rows": _encode_rows(self.folded_rows_by_key),
            "folded": self.folded,
            "samples": [
                [
                    sample.at,
                    {
                        "/".join(row_key): counts
                        for row_key, counts in sample.counts_by_key.items()
                    },
                ]
                for sample in self.samples
            ],
        }
        return json.dumps(content, separators=(",", ":")).encode()


def decode(value: bytes) -> BurnObject:
    """Parses the stored JSON text of an object.

    Raises:
        StoreError: The text is malformed or lacks a field.
    """
    try:
        return _decode(json.loads(value))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.StoreError(f"burn object: {error!r}") from error


def _decode(content: typing.Any) -> BurnObject:
    found = BurnObject(
        availability_zone=content["availability_zone"],
        month=content["month"],
    )
    found.rows_by_incarnation = {
        incarnation: _decode_rows(rows)
        for incarnation, rows in content["rows"].items()
    }
    found.folded_rows_by_key = _decode_rows(content["folded_rows"])
    found.folded = list(content["folded"])
    found.samples = [
        BurnSample(
            at=at,
            counts_by_key={
                _row_key(name): (total, good)
                for name, (total, good) in counts.items()
            },
        )
        for at, counts in content["samples"]
    ]
    return found


def _row(values: typing.Iterable[float]) -> BurnRow:
    total, good, worth, worth_served = values
    return BurnRow(
        total=int(total),
        good=int(good),
        worth=worth,
        worth_served=worth_served,
    )


def _add(
    sums: dict[RowKey, BurnRow], rows_by_key: dict[RowKey, BurnRow]
) -> None:
    for row_key, row in rows_by_key.items():
        sums[row_key] = row.add(sums.get(row_key, BurnRow()))


def _row_key(name: str) -> RowKey:
    service, _, kind = name.partition("/")
    return service, kind


def _encode_rows(
    rows_by_key: dict[RowKey, BurnRow],
) -> dict[str, list[float]]:
    return {
        "/".join(row_key): row.values for row_key, row in rows_by_key.items()
    }


def _decode_rows(content: typing.Any) -> dict[RowKey, BurnRow]:
    return {_row_key(name): _row(values) for name, values in content.items()}


def _thin_out(samples: list[BurnSample], now: float) -> list[BurnSample]:
    kept: list[BurnSample] = []
    for sample in samples:
        age_s = now - sample.at
        if age_s > SAMPLE_RETENTION_S:
            continue
        is_new_hour = not kept or sample.at // 3_600 != kept[-1].at // 3_600
        if age_s <= FINE_SAMPLE_RETENTION_S or is_new_hour:
            kept.append(sample)
    return kept

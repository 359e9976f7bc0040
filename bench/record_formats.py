"""Records what this build writes for other builds to read.

Fronts of an older build run beside those of a newer one during an upgrade.
tests.test_recorded_formats reads the records of all landed builds.
"""

from __future__ import annotations

import itertools
import json
import pathlib
import struct
import typing

import typer

from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import membership_packet
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import packet_bundle
from fuchsiacourse.front import store_view

FOLDER = pathlib.Path("tests", "formats")
IPS = ("0.0.0.0", "10.0.0.1", "127.0.0.1", "255.255.255.255")
# Numbers at the edges of the widths of the fields.
NUMBERS = (0, 1, 2**31, 2**32 - 1, 2**32, 2**53 + 1, 2**64 - 1)
FLAGS = (
    "is_ready",
    "is_leaving",
    "relay_in_zone",
    "relay_in_region",
    "requests_members",
    "has_bundles",
    "tells_limits",
)


def fields_of(item: typing.Any) -> typing.Any:
    """Returns the fields of a decoded object as JSON values."""
    if isinstance(item, (list, tuple)):
        return [fields_of(part) for part in item]
    if isinstance(item, (outcomes.Outcome, evidences.AttemptKind)):
        return item.name
    if isinstance(item, bytes):
        return item.hex()
    if hasattr(item, "__slots__"):
        return {
            name: fields_of(getattr(item, name)) for name in item.__slots__
        }
    # JSON has no infinity.
    return str(item) if isinstance(item, float) else item


def _packet(**changes: typing.Any) -> membership_packet.MembershipPacket:
    values = {
        "ip": "10.0.0.1",
        "zone": 1,
        "incarnation": 5,
        "config_version": 7,
        "store_contact_s": 2.5,
        "is_ready": True,
        "is_leaving": False,
    }
    return membership_packet.MembershipPacket(**{**values, **changes})


def _evidence(**changes: typing.Any) -> evidences.Evidence:
    values = {
        "target_key": 9,
        "outcome": outcomes.Outcome.ANSWERED,
        "kind": evidences.AttemptKind.FIRST,
        "in_flight": 3,
        "took_s": 0.25,
    }
    return evidences.Evidence(**{**values, **changes})


def _view(number: int) -> store_view.StoreView:
    return store_view.StoreView(
        has_proven_contact=bool(number % 2),
        has_lost_store=not number % 2,
        capacity=number % 256,
        config_revision=number,
        target_revision=max(0, number - 1),
        config_era=min(number, 2**32 - 1),
        target_era=min(number, 2**32 - 1) // 2,
    )


def packets() -> list[membership_packet.MembershipPacket]:
    """Returns packets with all flags and numbers at the edges."""
    found = [
        _packet(**dict(zip(FLAGS, bits)))
        for bits in itertools.product((False, True), repeat=len(FLAGS))
    ]
    found += [_packet(ip=ip, zone=zone) for ip in IPS for zone in (0, 255)]
    found += [
        _packet(
            incarnation=min(number, 2**32 - 1),
            config_version=number,
            view=_view(number),
        )
        for number in NUMBERS
    ]
    found += [
        _packet(
            tells_limits=True,
            evidence=[
                _evidence(outcome=outcome, kind=kind)
                for outcome in (None, *outcomes.Outcome)
            ],
        )
        for kind in evidences.AttemptKind
    ]
    found.append(
        _packet(
            tells_limits=True,
            evidence=[
                _evidence(
                    target_key=2**64 - 1,
                    fingerprint=2**64 - 1,
                    in_flight=100_000,
                    took_s=100_000.0,
                    reported_load=load,
                    rate_limit=load * 0.5,
                )
                for load in (0, 254, 255, 10**9)
            ],
        )
    )
    count = membership_packet.MAX_MEMBERS
    found.append(_packet(members=[(ip, 3) for ip in IPS] * (count // 4)))
    return found


def _bundles() -> list[packet_bundle.PacketBundle]:
    reports = b"".join(
        packet_bundle.encode_report(ip, 2, _evidence(outcome=outcome))
        for ip in IPS
        for outcome in (None, *outcomes.Outcome)
    )
    return [
        packet_bundle.PacketBundle(
            relay_in_zone=in_zone,
            relay_in_region=not in_zone,
            reports=reports,
            packets=[
                packet_bundle.SequencedPacket(
                    sequence=number, data=_packet().encode()
                )
                for number in NUMBERS
            ],
        )
        for in_zone in (False, True)
    ]


def record() -> dict[str, list[dict[str, typing.Any]]]:
    """Returns what this build writes, with the fields that it reads back.

    What the build can't encode is left out.
    """
    entries = []
    for packet in packets():
        try:
            data = packet.encode()
        except struct.error:
            continue
        entries.append(_entry(data, membership_packet.decode(data)))
    bundles = [
        _entry(data, packet_bundle.decode(data))
        for bundle in _bundles()
        for data in bundle.encode()
    ]
    return {"packets": entries, "bundles": bundles}


def _entry(data: bytes, decoded: typing.Any) -> dict[str, typing.Any]:
    return {"data": data.hex(), "fields": fields_of(decoded)}


def main(build: str, folder: pathlib.Path = FOLDER) -> None:
    """Writes the record of this build.

    Args:
        build: Name of the build, an abbreviated commit.
        folder: Folder of the records.
    """
    folder.mkdir(parents=True, exist_ok=True)
    lines = json.dumps(record()).replace('}, {"data"', '},\n{"data"')
    (folder / f"{build}.json").write_text(lines + "\n", encoding="utf-8")


if __name__ == "__main__":
    typer.run(main)

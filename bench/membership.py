"""Measures what liveness costs an instance, by the number of instances.

``python -m bench.membership`` feeds the real filter the heartbeats of a fleet for some
simulated seconds and prints one JSON line for each size: processor time and bytes of
received heartbeats and emitted messages, each for one second.
"""

import argparse
import json
import time
from dataclasses import replace

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.codecs import decode_message, encode_message
from sardinemill.control import (
    Heartbeat,
    InstanceInfo,
    InstanceList,
    InstanceState,
    PeerEnvelope,
)
from sardinemill.filters.membership import HEARTBEAT_SECONDS, Membership
from sardinemill.groups import Address


def make_fleet(n_instances: int) -> list[InstanceInfo]:
    """Instances spread over five data centres."""
    return [
        InstanceInfo(
            name=f"instance-{number:04d}",
            data_centre=f"centre-{number % 5}",
            peer_address=Address("10.0.0.1", 20000 + number),
            front_address=Address("10.0.0.1", 40000 + number),
        )
        for number in range(n_instances)
    ]


def measure(n_instances: int, seconds: int) -> dict[str, float]:
    """Run one instance of a fleet and return its costs for one second."""
    fleet = make_fleet(n_instances)
    membership = Membership(fleet[0], "1", SeededRandom(0))
    listed = InstanceList(instances=tuple(fleet))
    membership.handle(PeerEnvelope(peer=fleet[1].name, message=listed), 0.0)
    beats = [
        Heartbeat(
            source=info.name,
            incarnation="0" * 32,
            sequence=1,
            state=InstanceState.LIVE,
            configuration_version=1,
            info=info,
        )
        for info in fleet[1:]
    ]
    n_bytes = n_emissions = 0
    used = 0.0
    for number in range(seconds):
        encoded = [encode_message(replace(beat, sequence=number + 1)) for beat in beats]
        started_at = time.process_time()
        for index, beat in enumerate(beats):
            now = number + index / len(beats) * HEARTBEAT_SECONDS
            data = encoded[index]
            n_bytes += len(data)
            message = decode_message(data, beat.source)
            envelope = PeerEnvelope(peer=beat.source, message=message)
            n_emissions += len(membership.handle(envelope, now))
            if membership.next_tick is not None and membership.next_tick <= now:
                n_emissions += len(membership.tick(now))
        used += time.process_time() - started_at
    return {
        "n_instances": n_instances,
        "processor_seconds": used / seconds,
        "bytes_received": n_bytes / seconds,
        "emissions": n_emissions / seconds,
    }


def main() -> None:
    """Print one JSON line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[19, 100, 620])
    parser.add_argument("--seconds", type=int, default=10, help="simulated time")
    arguments = parser.parse_args()
    for n_instances in arguments.sizes:
        print(json.dumps(measure(n_instances, arguments.seconds)))


if __name__ == "__main__":
    main()

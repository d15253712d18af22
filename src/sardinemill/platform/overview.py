"""Readers of the platform's store and of instances' metrics for the command line."""

from dataclasses import replace

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from ..fleet.records import Directory, FleetRecord
from ..groups import Address
from ..overview import InstanceCounters
from ..sessions.routes import Configuration
from .store import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    DATABASE_KIND,
    EVACUATION_KIND,
    RECORD_KIND,
    RECORD_NAME,
    PlatformStore,
    decode_record,
)
from .store_documents import decode_configuration, decode_directory, decode_evacuations
from .store_era import AnswerEras

# The instances are queried one after the other while an operator waits; a healthy one
# answers in milliseconds.
METRICS_TIMEOUT_SECONDS = 1.0
STATEMENTS_METRIC = "sardinemill_statements_total"
CONFIGURATION_VERSION_METRIC = "sardinemill_configuration_version"
CONFIRMED_AGE_METRIC = "sardinemill_confirmed_age_seconds"
RECORD_ERA_METRIC = "sardinemill_record_era"
CONFIGURATION_STALE_METRIC = "sardinemill_configuration_stale"
GAUGES = (
    CONFIGURATION_VERSION_METRIC,
    CONFIGURATION_STALE_METRIC,
    CONFIRMED_AGE_METRIC,
    RECORD_ERA_METRIC,
)


class PlatformReader:
    """Reads a fleet's state from the platform's store; owns the store client."""

    def __init__(self, address: Address) -> None:
        self._store = PlatformStore(address)

    async def start(self) -> None:
        """Open the store client."""
        await self._store.start()

    async def stop(self) -> None:
        """Close the store client."""
        await self._store.stop()

    async def read_record(self) -> tuple[FleetRecord, int]:
        """Return the fleet record and its revision, 0 if there is none.

        :raises StoreError: when the store fails or the record is malformed.
        """
        found = await self._store.get(RECORD_KIND, RECORD_NAME)
        return decode_record(found), found.revision

    async def read_era(self) -> int:
        """Return the era of the store, 0 if it names none.

        :raises StoreError: when the store fails.
        """
        eras = AnswerEras()
        await self._store.get(RECORD_KIND, RECORD_NAME, eras=eras)
        return eras.era

    async def read_directory(self) -> Directory:
        """Return the databases that are registered in the store.

        :raises StoreError: when the store fails.
        """
        objects = await self._store.list(DATABASE_KIND)
        directory = decode_directory([(item.name, item.content) for item in objects])
        evacuations = await self._store.list(EVACUATION_KIND)
        names = decode_evacuations(item.name for item in evacuations)
        return replace(directory, evacuated_data_centres=names)

    async def read_configuration(self) -> Configuration | None:
        """Return the configuration, ``None`` if there is none.

        :raises StoreError: when the store fails.
        :raises ConfigurationError: when the configuration is malformed.
        """
        found = await self._store.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
        return decode_configuration(found.content) if found.revision else None


class MetricsReader:
    """Reads counters from the metrics endpoints of instances."""

    async def fetch(self, address: str) -> InstanceCounters:
        """Return the counters of an instance.

        :param address: of the metrics endpoint, ``host:port``.
        :returns: counters with ``is_answering`` false if the instance did not answer.
        """
        timeout = aiohttp.ClientTimeout(total=METRICS_TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{address}/metrics") as response,
            ):
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return InstanceCounters(address=address, is_answering=False)
        return parse_counters(address, text)


def parse_counters(address: str, text: str) -> InstanceCounters:
    """Parse the counters out of metrics in the Prometheus text format.

    :param address: of the instance that returned the text.
    """
    statements: dict[str, int] = {}
    gauges: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == STATEMENTS_METRIC:
                code = sample.labels.get("code", "")
                statements[code] = statements.get(code, 0) + int(sample.value)
            elif sample.name in GAUGES:
                gauges[sample.name] = sample.value
    return InstanceCounters(
        address=address,
        is_answering=True,
        configuration_version=int(gauges.get(CONFIGURATION_VERSION_METRIC, 0)),
        evidence_age_seconds=round(gauges.get(CONFIRMED_AGE_METRIC, 0.0), 3),
        statements=tuple(sorted(statements.items())),
        record_era=int(gauges.get(RECORD_ERA_METRIC, 0)),
        is_configuration_stale=gauges.get(CONFIGURATION_STALE_METRIC, 0.0) > 0.0,
    )

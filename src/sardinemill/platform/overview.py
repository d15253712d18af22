"""Platform's store and the instances' metrics, read for operators."""

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
    RECORD_KIND,
    RECORD_NAME,
    PlatformStore,
    decode_record,
)
from .store_documents import decode_configuration, decode_directory

# An operator waits for all instances in turn; a healthy one answers in milliseconds.
METRICS_TIMEOUT_SECONDS = 1.0
STATEMENTS_METRIC = "sardinemill_statements_total"
VERSION_METRIC = "sardinemill_configuration_version"
AGE_METRIC = "sardinemill_confirmed_age_seconds"


class PlatformReader:
    """Reads a fleet's state from the platform's store; owns the client."""

    def __init__(self, address: Address) -> None:
        self._store = PlatformStore(address)

    async def start(self) -> None:
        """Open the client."""
        await self._store.start()

    async def stop(self) -> None:
        """Close the client."""
        await self._store.stop()

    async def read_record(self) -> tuple[FleetRecord, int]:
        """Return the fleet record and its revision, 0 when there is none."""
        found = await self._store.get(RECORD_KIND, RECORD_NAME)
        return decode_record(found), found.revision

    async def read_directory(self) -> Directory:
        """Return the databases that are there."""
        objects = await self._store.list(DATABASE_KIND)
        return decode_directory([(item.name, item.content) for item in objects])

    async def read_configuration(self) -> Configuration | None:
        """Return the operators' lists, ``None`` when there are none."""
        found = await self._store.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
        return decode_configuration(found.content) if found.revision else None


class MetricsReader:
    """Reads counters from the metrics addresses of instances."""

    async def fetch(self, address: str) -> InstanceCounters:
        """Return the counters; an instance that is silent is marked so."""
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
    """Take the counters from the text format of metrics."""
    statements: dict[str, int] = {}
    gauges: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == STATEMENTS_METRIC:
                code = sample.labels.get("code", "")
                statements[code] = statements.get(code, 0) + int(sample.value)
            elif sample.name in (VERSION_METRIC, AGE_METRIC):
                gauges[sample.name] = sample.value
    return InstanceCounters(
        address=address,
        is_answering=True,
        configuration_version=int(gauges.get(VERSION_METRIC, 0)),
        evidence_age_seconds=round(gauges.get(AGE_METRIC, 0.0), 3),
        statements=tuple(sorted(statements.items())),
    )

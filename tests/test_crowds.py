"""Crowds of clients that do not behave, against an instance as a process.

Each test lowers the memory and the descriptors of the machine in the settings of its
instance. Crowd and bounds are those with which the code without limits failed.
"""

import asyncio

import pytest

from crowds import (
    LARGE_BYTES,
    MACHINE_DESCRIPTORS,
    MACHINE_MEMORY_MB,
    CrowdedInstance,
)

# Descriptors that the platform reserves for files.
RESERVED_DESCRIPTORS = 200


def run_with_instance(directory, scenario):
    """Run a scenario with a new instance."""

    async def run():
        crowded = CrowdedInstance(directory)
        try:
            await crowded.start()
            return await scenario(crowded)
        finally:
            await crowded.stop()

    return asyncio.run(run())


@pytest.mark.parametrize(
    "kind",
    [
        "send_whole",
        "send_half",
        "send_endless",
        "send_ahead",
        "send_pieces",
        "read_slowly",
        "close_half",
        "say_nothing",
        "keep_variables",
        "prepare_many",
    ],
)
def test_crowd_neither_ends_the_process_nor_shuts_others_out(kind, tmp_path):
    """Guards against clients that run a process out of memory or descriptors, or that
    keep ordinary callers from being served.
    """
    outcome = run_with_instance(tmp_path, lambda crowded: crowded.meet(kind))
    assert outcome.is_alive
    assert outcome.peak_memory_bytes < MACHINE_MEMORY_MB * 1024 * 1024
    assert outcome.peak_descriptors < MACHINE_DESCRIPTORS - RESERVED_DESCRIPTORS
    assert outcome.during == "ROW one"
    assert outcome.afterwards == "ROW one"


def test_largest_legal_message_is_served_in_calm(tmp_path):
    """Guards against limits that refuse what the protocol allows."""

    async def scenario(crowded):
        write = await crowded.ask_until_answered("WRITE a " + "x" * LARGE_BYTES)
        read = await crowded.ask_until_answered("READ a")
        return write, read

    write, read = run_with_instance(tmp_path, scenario)
    assert write.startswith("DONE p.")
    assert read == "ROW " + "x" * LARGE_BYTES

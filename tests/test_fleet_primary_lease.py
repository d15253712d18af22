"""The word of all coordinators as evidence that no change of primary has begun."""

from sardinemill.fleet.primary_lease import (
    ESTABLISHMENT_DELAY_SECONDS,
    MAX_COORDINATOR_LIST_AGE_SECONDS,
    PRIMARY_LEASE_SECONDS,
    CoordinatorConfirmation,
    find_unanimous_confirmation_time,
)
from session_builders import make_record

RECORD = make_record()


def make_words(**changes):
    """Words of three coordinators, asked at 99 s, 98 s and 97 s."""
    words = {
        name: CoordinatorConfirmation("1", 99.0 - number, 5)
        for number, name in enumerate("abc")
    }
    words.update(changes)
    return words


def test_oldest_word_counts():
    """Guards against evidence that is younger than one of its parts."""
    assert (
        find_unanimous_confirmation_time(RECORD, 5, make_words(), 99.0, 100.0) == 97.0
    )


def test_each_coordinator_has_to_have_said_so():
    """Guards against a coordinator that changes a primary unnoticed."""
    for word in (
        CoordinatorConfirmation("2", 99.0, 5),
        CoordinatorConfirmation("1", 99.0, 4),
    ):
        assert (
            find_unanimous_confirmation_time(RECORD, 5, make_words(b=word), 99.0, 100.0)
            is None
        )
    words = make_words()
    del words["c"]
    assert find_unanimous_confirmation_time(RECORD, 5, words, 99.0, 100.0) is None


def test_words_end_before_an_unknown_coordinator_may_act():
    """Guards against a new coordinator that others have not heard of."""
    at = 100.0
    assert find_unanimous_confirmation_time(
        RECORD, 5, make_words(), at - MAX_COORDINATOR_LIST_AGE_SECONDS, at
    )
    assert (
        find_unanimous_confirmation_time(
            RECORD, 5, make_words(), at - MAX_COORDINATOR_LIST_AGE_SECONDS - 0.01, at
        )
        is None
    )
    assert (
        ESTABLISHMENT_DELAY_SECONDS
        > MAX_COORDINATOR_LIST_AGE_SECONDS + PRIMARY_LEASE_SECONDS
    )

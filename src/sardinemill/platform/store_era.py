"""Era of the platform's store, as its answers name it in a header."""

from collections.abc import Mapping

ERA_HEADER = "store-era"
# More digits would not fit into 64 bits, in which instances pass the era on.
MAX_ERA_DIGITS = 18
MAX_LOGGED_CHARACTERS = 40


def decode_era(value: str | None) -> int | None:
    """Decode the header of an answer.

    :param value: ``None`` if the answer has no such header.
    :returns: 0 without a header, ``None`` if it is not a whole number.
    """
    if value is None:
        return 0
    text = value.strip()
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS):
        return None
    return int(text)


class AnswerEras:
    """Eras that the answers to one request named, several calls included.

    :ivar malformed: start of a header that is not a whole number, ``""`` if none.
    """

    def __init__(self) -> None:
        self._eras: set[int] = set()
        self.malformed = ""

    @property
    def era(self) -> int:
        """Lowest era named, since part of what was read may be as old; 0 if none."""
        return min(self._eras, default=0)

    def record(self, headers: Mapping[str, str]) -> None:
        """Record the headers of an answer."""
        value = headers.get(ERA_HEADER)
        era = decode_era(value)
        if era is None:
            self.malformed = ascii(value)[:MAX_LOGGED_CHARACTERS]
        elif era:
            self._eras.add(era)

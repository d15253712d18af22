"""What the log may say about a text of a client."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TextDigest:
    """Description of a text without anything that the client chose.

    :param verb: first word if it belongs to the protocol, otherwise empty.
    :param n_bytes: length of the text as it was received.
    :param checksum: of the text without the parts that an instance may replace; 8
        hexadecimal digits, empty if it was not computed.
    """

    verb: str = ""
    n_bytes: int = 0
    checksum: str = ""


NO_DIGEST = TextDigest()

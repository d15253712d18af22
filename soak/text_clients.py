"""Operations whose texts hold unusual blanks, words of the protocol and other bytes."""

from collections.abc import Callable
from random import Random

from .clients import ClientPlan
from .sessions import Answer, Session

# Parts of a last field, which extends to the end of the line.
PIECES = (
    "cd",
    "ls",
    " ",
    "  ",
    "READ ls",
    "READ",
    "WRITE a b",
    "AFTER 9.9 READ cd",
    "COMMIT",
    "QUERY 1 READ a",
    "ROW cd",
    "DONE db1.1",
    "READY I 1.1",
    "-",
    "\t",
    "\u00e9\u3042",
    "\u00a0",
    "\u2028",
    # Stands for a byte that is not UTF-8.
    "\udcff",
)
MAX_PIECES = 4
# Shapes that clients of all workspaces share; some begin with another one, and some
# differ only in blanks.
SHAPES = (
    "q3e",
    "q3e READ ls",
    "q3e WRITE ls",
    "q3e ",
    " q3e",
    "q3e  READ ls",
    "q#e",
    "q#e READ ls",
    "q#e READ ls READ q#e",
    "q#\u00e9",
    "q#\u00e9 \u3042",
    "",
    " ",
)
PREPARED_NAMES = ("s", "t", "r_q3e")
VARIABLE_NAMES = ("zone", "lang")
MODES = ("READ", "WRITE")
MAX_TRANSACTION_STATEMENTS = 4


class TextOperations:
    """Random statements of one client, inside and outside transactions.

    :param make_statement_id: returns an identifier that no other statement has.
    """

    def __init__(
        self, plan: ClientPlan, random: Random, make_statement_id: Callable[[], str]
    ) -> None:
        self._plan = plan
        self._random = random
        self._make_statement_id = make_statement_id

    async def run(self, session: Session) -> bool:
        """Run a statement, or a transaction of several.

        :returns: whether it was served and the session is usable.
        """
        if self._random.random() < 0.25:
            answer = await self._run_transaction(session)
        else:
            answer = await self._execute(session, self._choose_text(session))
        return answer.is_done and answer.is_usable

    async def _run_transaction(self, session: Session) -> Answer:
        begin = self._random.choice(("BEGIN", "BEGIN", "BEGIN READ"))
        answer = await self._execute(session, begin)
        for _ in range(self._random.randint(0, MAX_TRANSACTION_STATEMENTS)):
            if not answer.is_done:
                return answer
            is_read_only = begin == "BEGIN READ"
            text = self._choose_text(session, is_read_only=is_read_only)
            answer = await self._execute(session, text)
        if answer.is_done:
            end = self._random.choice(("COMMIT", "COMMIT", "ROLLBACK"))
            answer = await self._execute(session, end)
        return answer

    async def _execute(self, session: Session, text: str) -> Answer:
        return await session.execute(self._make_statement_id(), text)

    def _choose_text(self, session: Session, *, is_read_only: bool = False) -> str:
        modes = {
            name: mode
            for name, (mode, _) in session.texts.prepared.items()
            if mode == "READ" or not is_read_only
        }
        choice = self._random.random()
        if choice < 0.25:
            return f"READ {self._make_field()}"
        if choice < 0.40 and not is_read_only:
            return f"WRITE {self._choose_item()} {self._make_field()}"
        if choice < 0.50:
            name = self._random.choice(VARIABLE_NAMES)
            return f"SET {name} {self._make_field()}"
        if choice < 0.53 and modes:
            return f"DEALLOCATE {self._random.choice(sorted(modes))}"
        if choice < 0.70 or not modes:
            name = self._random.choice(PREPARED_NAMES)
            mode = self._random.choice(MODES)
            return f"PREPARE {name} {mode} {self._random.choice(SHAPES)}"
        name = self._random.choice(sorted(modes))
        field = self._make_field()
        if modes[name] == "WRITE":
            field = f"{self._choose_item()} {field}"
        return f"EXECUTE {name} {field}"

    def _choose_item(self) -> str:
        number = self._random.randint(1, 3)
        return f"{self._plan.workspace}-{self._plan.name}-{number}"

    def _make_field(self) -> str:
        n_pieces = self._random.randint(0, MAX_PIECES)
        separator = self._random.choice(("", " "))
        return separator.join(self._random.choices(PIECES, k=n_pieces))

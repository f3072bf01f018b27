"""Checks what callers and endpoints see against the promises of the proxy."""

import dataclasses
import time

PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD"}


@dataclasses.dataclass(eq=False)
class Attempt:
    """One try of a caller's operation: a statement or a transaction."""

    session: object
    kind: str
    service: str
    max_age_s: float
    transaction: bool = False
    started: float = 0.0
    wants_commit: bool = False
    promised: str = ""
    connection: object = None
    first: object = None


@dataclasses.dataclass(eq=False)
class Statement:
    """One statement of an attempt, as its caller sent it."""

    id: str
    text: str
    attempt: Attempt
    sent: float
    values: dict
    # Access and shape behind the prepared name of an EXECUTE.
    prepared: tuple = None
    signatures: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(eq=False)
class Commit:
    """A commit with writes, at the place of the log where it was made."""

    group: object
    term: int
    number: int
    ids: tuple
    at: float
    # It was made at a primary that had been replaced already.
    late: bool = False
    lost: bool = False
    acknowledged: float = None
    session: object = None


class Promises:
    """Collects findings; each is a line that names its rule."""

    def __init__(self):
        self.started = time.monotonic()
        self.statements = {}
        self.commits = {}
        self.acknowledged = {}
        self.findings = []
        self.tokens = {}
        self.newest_token = 0
        self.served = []
        self.refused = []

    def found(self, rule, text):
        self.findings.append(
            f"{time.monotonic() - self.started:.2f} {rule}: {text}")

    # What callers see.

    def sent(self, statement):
        self.statements[statement.id] = statement

    def answered(self, statement, code, signature, rows):
        """The caller got the whole answer; `code` is None for a success."""
        attempt = statement.attempt
        word = statement.text.split()[0]
        if code is not None:
            if code in PROMISES:
                attempt.promised = code
            return
        if word not in ("READ", "WRITE", "COMMIT", "EXECUTE"):
            return
        if signature not in statement.signatures:
            if signature == "-" and word == "COMMIT" and \
                    attempt.connection is None:
                return
            self.found("MIXED", f"{statement.id} has signature {signature}")
        elif statement.signatures[signature] != rows:
            self.found("MIXED", f"{statement.id} has rows of another")
        commit = self.commits.get(statement.id)
        if commit is not None and commit.acknowledged is None:
            commit.acknowledged = time.monotonic()
            commit.session = attempt.session
            self.acknowledged.setdefault(commit.group, []).append(commit)
            if commit.late:
                self.found("ONE", f"{statement.id} acknowledged at a primary "
                           f"that was replaced")

    # What endpoints see.

    def ran(self, endpoint, connection, query_id, text, signature, rows):
        statement = self.statements.get(query_id)
        if statement is None:
            self.found("UNASKED", f"{endpoint.name} ran {query_id} {text}")
            return
        attempt = statement.attempt
        statement.signatures[signature] = rows
        if endpoint.group.name != attempt.service:
            self.found("ROUTE", f"{query_id} ran at {endpoint.group.name}")
        self._check_text(endpoint, connection, statement, text)
        self._check_connection(connection, statement)
        if not text.startswith(("WRITE", "COMMIT")):
            self._check_age(endpoint, statement)

    def _check_text(self, endpoint, connection, statement, text):
        words = text.split(" ", 2)
        wanted = statement.text.split(" ", 2)
        if words[0] != "EXECUTE":
            if text != statement.text:
                self.found("UNASKED", f"{statement.id} ran as {text}")
            return
        if words[2:] != wanted[2:]:
            self.found("UNASKED", f"{statement.id} ran with {words[2:]}")
        if connection.prepared.get(words[1]) != statement.prepared:
            self.found("PINNED", f"{statement.id} ran another shape at "
                       f"{endpoint.name}")

    def _check_connection(self, connection, statement):
        attempt = statement.attempt
        if connection.values != statement.values:
            self.found("PINNED", f"{statement.id} ran with values "
                       f"{connection.values}, not {statement.values}")
        if connection.owner not in (None, attempt):
            self.found("PINNED", f"{statement.id} ran in the transaction of "
                       f"another caller")
        if attempt.transaction:
            if connection.open is None:
                self.found("PINNED", f"{statement.id} ran outside of its "
                           f"transaction")
            # Until it was answered the first statement may be run anew in
            # another transaction, since the one before it is rolled back.
            attempt.first = attempt.first or statement
            if attempt.connection not in (None, connection) and \
                    statement is not attempt.first:
                self.found("PINNED", f"{statement.id} changed its connection")
            attempt.connection = connection
            connection.owner = attempt
        elif connection.open is not None:
            self.found("PINNED", f"{statement.id} ran inside a transaction")

    def _check_age(self, endpoint, statement):
        attempt = statement.attempt
        # In a transaction the log is that of its begin.
        since = attempt.started if attempt.transaction else statement.sent
        bound = since - (attempt.max_age_s if attempt.kind != "primary" else 0)
        for commit in reversed(self.acknowledged.get(endpoint.group, [])):
            if commit.lost:
                continue
            own = (attempt.kind == "read_your_writes" and
                   commit.session is attempt.session and
                   commit.acknowledged < since)
            if commit.acknowledged >= bound and not own:
                continue
            if not endpoint.holds(commit):
                self.found("STALE", f"{statement.id} at {endpoint.name} "
                           f"without {commit.term}.{commit.number}, which "
                           f"was acknowledged "
                           f"{since - commit.acknowledged:.3f} s before")
            if commit.acknowledged < bound - 3:
                break

    def committed(self, commit):
        for query_id in commit.ids:
            statement = self.statements.get(query_id)
            if statement is None:
                self.found("UNASKED", f"commit of {query_id}")
            elif statement.attempt.transaction and \
                    not statement.attempt.wants_commit:
                self.found("UNASKED", f"{query_id} committed without COMMIT")
            self.commits[query_id] = commit

    def promoted(self, service, holder, token):
        known = self.tokens.setdefault(token, holder)
        if known != holder:
            self.found("ONE", f"{holder} and {known} promote with {token}")
        if token < self.newest_token:
            self.found("ONE", f"token {token} of {holder} for {service} is "
                       f"lower than {self.newest_token}")
        self.newest_token = max(self.newest_token, token)

    def review_logs(self, groups):
        """Judges the logs that stand at the end of a run."""
        for group in groups:
            seen = set()
            for commit in group.primary().log:
                for query_id in commit.ids:
                    if query_id in seen:
                        self.found("TWICE", f"{query_id} in {group.name}")
                    seen.add(query_id)
                    promised = self.statements[query_id].attempt.promised
                    if promised:
                        self.found("REFUSED", f"{query_id} was committed, "
                                   f"its caller was told {promised}")

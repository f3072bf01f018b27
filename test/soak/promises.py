"""Checks what callers and endpoints see against guarantees of the proxy."""

import dataclasses
import time

# Error codes that guarantee to the caller that its write takes no effect.
NOT_APPLIED_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE",
                     "OVERLOAD"}


@dataclasses.dataclass(eq=False)
class Attempt:
    """One execution of a caller's operation: a statement or a transaction."""

    session: object
    kind: str
    service: str
    max_age_s: float
    transaction: bool = False
    started_at: float = 0.0
    commit_requested: bool = False
    # Last code of NOT_APPLIED_CODES that the caller received.
    not_applied_code: str = ""
    # Connection and first statement of the transaction at the endpoint.
    connection: object = None
    first_statement: object = None
    # The caller has the answer of the first statement.
    is_first_answered: bool = False
    # Commit of the writes of the transaction.
    commit: object = None


@dataclasses.dataclass(eq=False)
class Statement:
    """One statement of an attempt, as its caller sent it."""

    id: str
    text: str
    attempt: Attempt
    sent_at: float
    values: dict
    # Access (READ or WRITE) and shape of the prepared statement of an EXECUTE.
    prepared: tuple = None
    # Rows of each execution at an endpoint, by the signature of its result.
    rows_by_signature: dict = dataclasses.field(default_factory=dict)
    # Connection of each execution.
    connection_by_signature: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(eq=False)
class Commit:
    """A commit with writes, and its place in the log."""

    group: object
    term: int
    # Starts at 1.
    log_index: int
    query_ids: tuple
    committed_at: float
    # Made at a primary that had already been replaced.
    after_replacement: bool = False
    # Not part of the log that the new primary continues.
    lost: bool = False
    # Time and session of the first acknowledgement that a caller received.
    acknowledged: float = None
    session: object = None


class GuaranteeChecker:
    """Collects findings; each is a line that names the violated rule."""

    def __init__(self):
        self.started_at = time.monotonic()
        self.statements = {}
        self.commits = {}
        self.acknowledged_commits = {}
        self.findings = []
        self.holder_of_token = {}
        self.highest_token = 0
        # Start time and duration of the operations, by their result.
        self.served = []
        self.refused = []

    def report(self, rule, text):
        self.findings.append(
            f"{time.monotonic() - self.started_at:.2f} {rule}: {text}")

    # Events at callers.

    def on_statement_sent(self, statement):
        self.statements[statement.id] = statement

    def on_reply(self, statement, code, signature, rows):
        """The caller received an answer; `code` is None for a success."""
        attempt = statement.attempt
        keyword = statement.text.split()[0]
        if code is not None:
            if code in NOT_APPLIED_CODES:
                attempt.not_applied_code = code
            return
        if keyword not in ("READ", "WRITE", "COMMIT", "EXECUTE"):
            self.on_unsigned_reply(statement.id, statement.text, signature,
                                   rows)
            return
        if signature not in statement.rows_by_signature:
            if signature == "-" and keyword == "COMMIT" and \
                    attempt.connection is None:
                return
            self.report("MIXED", f"{statement.id} has unknown signature "
                        f"{signature!r}{self._describe_owner(signature)}")
        elif statement.rows_by_signature[signature] != rows:
            self.report(
                "MIXED",
                f"{statement.id} has rows that were not returned for it: "
                f"{rows}, not {statement.rows_by_signature[signature]}")
        if statement is attempt.first_statement and \
                signature in statement.connection_by_signature:
            attempt.is_first_answered = True
            attempt.connection = statement.connection_by_signature[signature]
        commit = attempt.commit if keyword == "COMMIT" \
            else self.commits.get(statement.id)
        if commit is not None and commit.acknowledged is None:
            commit.acknowledged = time.monotonic()
            commit.session = attempt.session
            self.acknowledged_commits.setdefault(
                commit.group, []).append(commit)
            if commit.after_replacement:
                self.report("ONE", f"{statement.id} acknowledged at a primary "
                            f"that was replaced")

    def _describe_owner(self, signature):
        owner = next((s.id for s in self.statements.values()
                      if signature in s.rows_by_signature), None)
        return f" of {owner}" if owner else ""

    def on_unsigned_reply(self, query_id, text, signature, rows):
        """A statement that no endpoint signs succeeded."""
        if signature != "-" or rows:
            self.report("MIXED", f"{query_id} {text} received signature "
                        f"{signature} and {len(rows)} rows")

    # Events at endpoints and the promotion service; check at the end of a run.

    def on_executed(self, endpoint, connection, query_id, text, signature,
                    rows):
        statement = self.statements.get(query_id)
        if statement is None:
            self.report("UNASKED", f"{endpoint.name} ran {query_id} {text}")
            return
        attempt = statement.attempt
        statement.rows_by_signature[signature] = rows
        statement.connection_by_signature[signature] = connection
        if endpoint.group.name != attempt.service:
            self.report("ROUTE", f"{query_id} ran at {endpoint.group.name}")
        self._check_statement_text(endpoint, connection, statement, text)
        self._check_connection(connection, statement)
        if not text.startswith(("WRITE", "COMMIT")):
            self._check_staleness(endpoint, statement)

    def _check_statement_text(self, endpoint, connection, statement, text):
        words = text.split(" ", 2)
        expected = statement.text.split(" ", 2)
        if words[0] != "EXECUTE":
            if text != statement.text:
                self.report("UNASKED", f"{statement.id} ran as {text}")
            return
        if words[2:] != expected[2:]:
            self.report("UNASKED", f"{statement.id} ran with {words[2:]}")
        if connection.prepared.get(words[1]) != statement.prepared:
            self.report("PINNED", f"{statement.id} ran another shape at "
                        f"{endpoint.name}")

    def _check_connection(self, connection, statement):
        attempt = statement.attempt
        if connection.values != statement.values:
            self.report("PINNED", f"{statement.id} ran with values "
                        f"{connection.values}, not {statement.values}")
        if connection.transaction_attempt not in (None, attempt):
            self.report("PINNED", f"{statement.id} ran in the transaction of "
                        f"another caller")
        if attempt.transaction:
            if connection.open_writes is None:
                self.report("PINNED", f"{statement.id} ran outside of its "
                            f"transaction")
            # Before its reply, the first statement may run again in a new
            # transaction on another connection: the previous transaction is
            # rolled back. An endpoint may run it there after the connection
            # was closed. The transaction is the one whose answer the caller
            # got.
            attempt.first_statement = attempt.first_statement or statement
            if attempt.connection not in (None, connection) and \
                    statement is not attempt.first_statement:
                self.report("PINNED", f"{statement.id} changed its connection")
            if not attempt.is_first_answered:
                attempt.connection = connection
            connection.transaction_attempt = attempt
        elif connection.open_writes is not None:
            self.report("PINNED", f"{statement.id} ran inside a transaction")

    def _check_staleness(self, endpoint, statement):
        attempt = statement.attempt
        # Statements of a transaction read the log as of its BEGIN.
        since = attempt.started_at if attempt.transaction \
            else statement.sent_at
        cutoff = since - (
            attempt.max_age_s if attempt.kind != "primary" else 0)
        for commit in reversed(
                self.acknowledged_commits.get(endpoint.group, [])):
            if commit.lost:
                continue
            own_write = (attempt.kind == "read_your_writes" and
                         commit.session is attempt.session and
                         commit.acknowledged < since)
            if commit.acknowledged >= cutoff and not own_write:
                continue
            if not endpoint.has_applied(commit):
                self.report("STALE", f"{statement.id} at {endpoint.name} "
                            f"without {commit.term}.{commit.log_index}, which "
                            f"was acknowledged "
                            f"{since - commit.acknowledged:.3f} s before")
            if commit.acknowledged < cutoff - 3:
                break

    def on_commit(self, commit):
        for query_id in commit.query_ids:
            statement = self.statements.get(query_id)
            if statement is None:
                self.report("UNASKED", f"commit of {query_id}")
            elif statement.attempt.transaction and \
                    not statement.attempt.commit_requested:
                self.report("UNASKED", f"{query_id} committed without COMMIT")
            self.commits[query_id] = commit
            if statement is not None:
                statement.attempt.commit = commit

    def on_rolled_back(self, endpoint, commits):
        """Commits that waited for replicas are missing in the log of the
        endpoint that is promoted."""
        for commit in commits:
            if commit.acknowledged is not None:
                self.report("LOST", f"{endpoint.name} is promoted without "
                            f"{commit.term}.{commit.log_index}, which was "
                            f"acknowledged")

    def on_promotion(self, service, holder, token):
        first_holder = self.holder_of_token.setdefault(token, holder)
        if first_holder != holder:
            self.report(
                "ONE", f"{holder} and {first_holder} promote with {token}")
        if token < self.highest_token:
            self.report("ONE", f"token {token} of {holder} for {service} is "
                        f"lower than {self.highest_token}")
        self.highest_token = max(self.highest_token, token)

    def check_logs(self, groups):
        """Checks the logs as they stand at the end of a run."""
        for group in groups:
            committed_ids = set()
            for commit in group.primary().log:
                for query_id in commit.query_ids:
                    if query_id in committed_ids:
                        self.report("TWICE", f"{query_id} in {group.name}")
                    committed_ids.add(query_id)
                    not_applied_code = self.statements[
                        query_id].attempt.not_applied_code
                    if not_applied_code:
                        self.report("REFUSED", f"{query_id} was committed, "
                                    f"its caller received {not_applied_code}")

"""Shows for each promise that a run which breaks it is found."""

import time
import types
import unittest

from database import Connection
from promises import Attempt, Commit, Promises, Statement


class FakeGroup:
    """A service whose primary is the group itself."""

    def __init__(self):
        self.name = "registro"
        self.log = []

    def primary(self):
        return self


class BrokenPromise(unittest.TestCase):
    def setUp(self):
        self.promises = Promises()
        self.group = FakeGroup()
        self.endpoint = types.SimpleNamespace(
            name="i-1", group=self.group,
            holds=lambda commit: commit in self.group.log)
        self.connection = Connection()
        self.session = object()
        self.next_id = 0

    def attempt(self, kind="primary", transaction=False):
        return Attempt(self.session, kind, "registro", 0.0, transaction,
                       time.monotonic())

    def send(self, text, attempt=None, prepared=None, values=None):
        self.next_id += 1
        statement = Statement(f"{self.next_id}", text,
                              attempt or self.attempt(), time.monotonic(),
                              values or {}, prepared)
        self.promises.sent(statement)
        return statement

    def run_at_endpoint(self, statement, text=None, signature="s", rows=()):
        self.promises.ran(self.endpoint, self.connection, statement.id,
                          text or statement.text, signature, list(rows))

    def commit(self, *statements, late=False):
        commit = Commit(self.group, 1, len(self.group.log) + 1,
                        tuple(s.id for s in statements), time.monotonic(),
                        late)
        self.group.log.append(commit)
        self.promises.committed(commit)
        return commit

    def assert_found(self, rule):
        self.assertEqual([line.split()[1] for line in self.promises.findings],
                         [rule + ":"])

    def test_all_is_well_nothing_is_found(self):
        write = self.send("WRITE 1 a")
        self.run_at_endpoint(write)
        self.commit(write)
        self.promises.answered(write, None, "s", [])
        read = self.send("READ 1")
        self.run_at_endpoint(read, signature="t", rows=["x"])
        self.promises.answered(read, None, "t", ["x"])
        self.promises.review_logs([self.group])
        self.assertEqual(self.promises.findings, [])

    def test_statement_that_nobody_sent_is_unasked(self):
        self.promises.ran(self.endpoint, self.connection, "x", "READ 1", "s",
                          [])
        self.assert_found("UNASKED")

    def test_changed_text_is_unasked(self):
        self.run_at_endpoint(self.send("READ 1"), "READ 2")
        self.assert_found("UNASKED")

    def test_commit_that_was_not_asked_for_is_unasked(self):
        write = self.send("WRITE 1 a", self.attempt(transaction=True))
        self.commit(write)
        self.assert_found("UNASKED")

    def test_other_service_breaks_the_route(self):
        statement = self.send("READ 1")
        statement.attempt.service = "hire-core"
        self.run_at_endpoint(statement)
        self.assert_found("ROUTE")

    def test_answer_of_another_statement_is_mixed(self):
        read = self.send("READ 1")
        self.run_at_endpoint(read, signature="s")
        self.promises.answered(read, None, "other", [])
        self.assert_found("MIXED")

    def test_other_rows_are_mixed(self):
        read = self.send("READ 1")
        self.run_at_endpoint(read, rows=["x"])
        self.promises.answered(read, None, "s", ["y"])
        self.assert_found("MIXED")

    def test_other_values_break_the_session(self):
        self.run_at_endpoint(self.send("READ 1", values={"v": "1"}))
        self.assert_found("PINNED")

    def test_other_shape_breaks_the_session(self):
        self.connection.prepared["p"] = ("READ", "q2")
        self.run_at_endpoint(
            self.send("EXECUTE p 1", prepared=("READ", "q1")))
        self.assert_found("PINNED")

    def test_statement_in_anothers_transaction_breaks_it(self):
        self.connection.open = []
        first = self.send("READ 1", self.attempt(transaction=True))
        self.run_at_endpoint(first)
        second = self.send("READ 1", self.attempt(transaction=True))
        self.run_at_endpoint(second)
        self.assert_found("PINNED")

    def test_transaction_on_two_connections_is_broken(self):
        attempt = self.attempt(transaction=True)
        self.connection.open = []
        self.run_at_endpoint(self.send("READ 1", attempt))
        self.connection = Connection()
        self.connection.open = []
        self.run_at_endpoint(self.send("READ 2", attempt))
        self.assert_found("PINNED")

    def test_read_without_an_acknowledged_commit_is_stale(self):
        write = self.send("WRITE 1 a")
        self.run_at_endpoint(write)
        self.commit(write)
        self.promises.answered(write, None, "s", [])
        self.group.log.clear()
        time.sleep(0.001)
        self.run_at_endpoint(self.send("READ 1"))
        self.assert_found("STALE")

    def test_own_commit_is_missing_the_read_is_stale(self):
        write = self.send("WRITE 1 a")
        self.run_at_endpoint(write)
        self.commit(write)
        self.promises.answered(write, None, "s", [])
        self.group.log.clear()
        time.sleep(0.001)
        attempt = self.attempt("read_your_writes")
        attempt.max_age_s = 2.5
        self.run_at_endpoint(self.send("READ 1", attempt))
        self.assert_found("STALE")

    def test_write_in_two_commits_is_found(self):
        write = self.send("WRITE 1 a")
        self.commit(write)
        self.commit(write)
        self.promises.review_logs([self.group])
        self.assert_found("TWICE")

    def test_untrue_refusal_is_found(self):
        write = self.send("WRITE 1 a")
        self.commit(write)
        self.promises.answered(write, "BUSY", "-", [])
        self.promises.review_logs([self.group])
        self.assert_found("REFUSED")

    def test_acknowledged_commit_at_a_replaced_primary_is_found(self):
        write = self.send("WRITE 1 a")
        self.run_at_endpoint(write)
        self.commit(write, late=True)
        self.promises.answered(write, None, "s", [])
        self.assert_found("ONE")

    def test_two_holders_with_one_token_are_found(self):
        self.promises.promoted("registro", "vm-0", 7)
        self.promises.promoted("registro", "vm-1", 7)
        self.assert_found("ONE")

    def test_falling_token_is_found(self):
        self.promises.promoted("registro", "vm-0", 7)
        self.promises.promoted("registro", "vm-0", 6)
        self.assert_found("ONE")


if __name__ == "__main__":
    unittest.main()

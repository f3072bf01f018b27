"""For each guarantee, a run that violates it must be reported."""

import time
import types
import unittest

from database import Connection
from promises import Attempt, Commit, GuaranteeChecker, Statement


class FakeGroup:
    """A service whose primary is the group itself."""

    def __init__(self):
        self.name = "registro"
        self.log = []

    def primary(self):
        return self


class GuaranteeCheckerTest(unittest.TestCase):
    def setUp(self):
        self.checker = GuaranteeChecker()
        self.group = FakeGroup()
        self.endpoint = types.SimpleNamespace(
            name="i-1", group=self.group,
            has_applied=lambda commit: commit in self.group.log)
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
        self.checker.on_statement_sent(statement)
        return statement

    def run_at_endpoint(self, statement, text=None, signature="s", rows=()):
        self.checker.on_executed(self.endpoint, self.connection, statement.id,
                                 text or statement.text, signature, list(rows))

    def commit(self, *statements, after_replacement=False):
        commit = Commit(self.group, 1, len(self.group.log) + 1,
                        tuple(s.id for s in statements), time.monotonic(),
                        after_replacement)
        self.group.log.append(commit)
        self.checker.on_commit(commit)
        return commit

    def assert_only_finding(self, rule):
        self.assertEqual([line.split()[1] for line in self.checker.findings],
                         [rule + ":"])

    def test_lost_commit(self):
        statement = self.send("WRITE 1 a")
        self.run_at_endpoint(statement)
        commit = self.commit(statement)
        self.checker.on_rolled_back(self.endpoint, [commit])
        self.assertEqual(self.checker.findings, [])
        self.checker.on_reply(statement, None, "s", [])
        self.checker.on_rolled_back(self.endpoint, [commit])
        self.assert_only_finding("LOST")

    def test_valid_run_has_no_finding(self):
        write = self.send("WRITE 1 a")
        self.run_at_endpoint(write)
        self.commit(write)
        self.checker.on_reply(write, None, "s", [])
        read = self.send("READ 1")
        self.run_at_endpoint(read, signature="t", rows=["x"])
        self.checker.on_reply(read, None, "t", ["x"])
        self.checker.check_logs([self.group])
        self.assertEqual(self.checker.findings, [])

    def test_statement_that_no_caller_sent_is_unasked(self):
        self.checker.on_executed(self.endpoint, self.connection, "x",
                                 "READ 1", "s", [])
        self.assert_only_finding("UNASKED")

    def test_changed_text_is_unasked(self):
        self.run_at_endpoint(self.send("READ 1"), "READ 2")
        self.assert_only_finding("UNASKED")

    def test_commit_without_commit_statement_is_unasked(self):
        write = self.send("WRITE 1 a", self.attempt(transaction=True))
        self.commit(write)
        self.assert_only_finding("UNASKED")

    def test_statement_at_other_service_violates_route(self):
        statement = self.send("READ 1")
        statement.attempt.service = "hire-core"
        self.run_at_endpoint(statement)
        self.assert_only_finding("ROUTE")

    def test_reply_of_another_statement_is_mixed(self):
        read = self.send("READ 1")
        self.run_at_endpoint(read, signature="s")
        self.checker.on_reply(read, None, "other", [])
        self.assert_only_finding("MIXED")

    def test_other_rows_are_mixed(self):
        read = self.send("READ 1")
        self.run_at_endpoint(read, rows=["x"])
        self.checker.on_reply(read, None, "s", ["y"])
        self.assert_only_finding("MIXED")

    def test_part_of_a_signature_is_mixed(self):
        read = self.send("READ 1")
        self.run_at_endpoint(read, signature="1.ab", rows=["x"])
        self.checker.on_reply(read, None, "1.a", ["x"])
        self.assert_only_finding("MIXED")

    def test_success_without_signature_is_mixed(self):
        write = self.send("WRITE 1 a")
        self.run_at_endpoint(write)
        self.checker.on_reply(write, None, "-", [])
        self.assert_only_finding("MIXED")

    def test_answer_of_a_signed_statement_to_begin_is_mixed(self):
        begin = self.send("BEGIN", self.attempt(transaction=True))
        self.checker.on_reply(begin, None, "-", [])
        self.assertEqual(self.checker.findings, [])
        self.checker.on_reply(begin, None, "s", [])
        self.assert_only_finding("MIXED")

    def test_rows_in_an_answer_to_set_are_mixed(self):
        self.checker.on_unsigned_reply("1", "SET v 1", "-", [])
        self.assertEqual(self.checker.findings, [])
        self.checker.on_unsigned_reply("1", "SET v 1", "-", ["x"])
        self.assert_only_finding("MIXED")

    def test_unsigned_commit_of_a_transaction_that_ran_is_mixed(self):
        attempt = self.attempt(transaction=True)
        self.connection.open_writes = []
        self.run_at_endpoint(self.send("READ 1", attempt))
        commit = self.send("COMMIT", attempt)
        self.checker.on_reply(commit, None, "-", [])
        self.assert_only_finding("MIXED")

    def test_other_variable_values_violate_session_state(self):
        self.run_at_endpoint(self.send("READ 1", values={"v": "1"}))
        self.assert_only_finding("PINNED")

    def test_other_prepared_shape_violates_session_state(self):
        self.connection.prepared["p"] = ("READ", "q2")
        self.run_at_endpoint(
            self.send("EXECUTE p 1", prepared=("READ", "q1")))
        self.assert_only_finding("PINNED")

    def test_statement_in_transaction_of_another_attempt_is_reported(self):
        self.connection.open_writes = []
        first = self.send("READ 1", self.attempt(transaction=True))
        self.run_at_endpoint(first)
        second = self.send("READ 1", self.attempt(transaction=True))
        self.run_at_endpoint(second)
        self.assert_only_finding("PINNED")

    def test_transaction_on_two_connections_is_reported(self):
        attempt = self.attempt(transaction=True)
        self.connection.open_writes = []
        self.run_at_endpoint(self.send("READ 1", attempt))
        self.connection = Connection()
        self.connection.open_writes = []
        self.run_at_endpoint(self.send("READ 2", attempt))
        self.assert_only_finding("PINNED")

    def answered_twice(self):
        """A transaction whose first statement is answered on its second
        connection and runs on the first, closed one afterwards."""
        attempt = self.attempt(transaction=True)
        first = self.send("READ 1", attempt)
        closed, other = Connection(), Connection()
        closed.open_writes, other.open_writes = [], []
        for self.connection, signature in ((other, "s2"), (closed, "s1")):
            self.run_at_endpoint(first, signature=signature)
        self.checker.on_reply(first, None, "s2", [])
        return attempt, closed, other

    def test_first_statement_that_also_runs_on_a_closed_connection(self):
        attempt, _, self.connection = self.answered_twice()
        self.run_at_endpoint(self.send("READ 2", attempt))
        self.assertEqual(self.checker.findings, [])

    def test_transaction_on_the_connection_without_its_answer_is_reported(
            self):
        attempt, self.connection, _ = self.answered_twice()
        self.run_at_endpoint(self.send("READ 2", attempt))
        self.assert_only_finding("PINNED")

    def test_read_without_an_acknowledged_commit_is_stale(self):
        write = self.send("WRITE 1 a")
        self.run_at_endpoint(write)
        self.commit(write)
        self.checker.on_reply(write, None, "s", [])
        self.group.log.clear()
        time.sleep(0.001)
        self.run_at_endpoint(self.send("READ 1"))
        self.assert_only_finding("STALE")

    def acknowledge_transaction(self, after_replacement=False):
        attempt = self.attempt(transaction=True)
        attempt.commit_requested = True
        self.connection.open_writes = []
        write = self.send("WRITE 1 a", attempt)
        self.run_at_endpoint(write)
        self.checker.on_reply(write, None, "s", [])
        end = self.send("COMMIT", attempt)
        self.run_at_endpoint(end, signature="t")
        commit = self.commit(write, after_replacement=after_replacement)
        self.connection.end_transaction()
        self.checker.on_reply(end, None, "t", [])
        return commit

    def test_read_without_a_committed_transaction_is_stale(self):
        self.acknowledge_transaction()
        self.group.log.clear()
        time.sleep(0.001)
        self.run_at_endpoint(self.send("READ 1"))
        self.assert_only_finding("STALE")

    def test_lost_transaction(self):
        commit = self.acknowledge_transaction()
        self.checker.on_rolled_back(self.endpoint, [commit])
        self.assert_only_finding("LOST")

    def test_acknowledged_transaction_at_a_replaced_primary_is_reported(self):
        self.acknowledge_transaction(after_replacement=True)
        self.assert_only_finding("ONE")

    def test_refused_transaction_that_was_committed_is_reported(self):
        attempt = self.attempt(transaction=True)
        attempt.commit_requested = True
        write = self.send("WRITE 1 a", attempt)
        end = self.send("COMMIT", attempt)
        self.commit(write)
        self.checker.on_reply(end, "READONLY", "-", [])
        self.checker.check_logs([self.group])
        self.assert_only_finding("REFUSED")

    def test_read_without_own_commit_is_stale(self):
        write = self.send("WRITE 1 a")
        self.run_at_endpoint(write)
        self.commit(write)
        self.checker.on_reply(write, None, "s", [])
        self.group.log.clear()
        time.sleep(0.001)
        attempt = self.attempt("read_your_writes")
        attempt.max_age_s = 2.5
        self.run_at_endpoint(self.send("READ 1", attempt))
        self.assert_only_finding("STALE")

    def test_write_in_two_commits_is_reported(self):
        write = self.send("WRITE 1 a")
        self.commit(write)
        self.commit(write)
        self.checker.check_logs([self.group])
        self.assert_only_finding("TWICE")

    def test_refused_write_that_was_committed_is_reported(self):
        write = self.send("WRITE 1 a")
        self.commit(write)
        self.checker.on_reply(write, "BUSY", "-", [])
        self.checker.check_logs([self.group])
        self.assert_only_finding("REFUSED")

    def test_acknowledged_commit_at_a_replaced_primary_is_reported(self):
        write = self.send("WRITE 1 a")
        self.run_at_endpoint(write)
        self.commit(write, after_replacement=True)
        self.checker.on_reply(write, None, "s", [])
        self.assert_only_finding("ONE")

    def test_two_leaders_with_one_token_are_reported(self):
        self.checker.on_promotion("registro", "vm-0", 7)
        self.checker.on_promotion("registro", "vm-1", 7)
        self.assert_only_finding("ONE")

    def test_decreasing_token_is_reported(self):
        self.checker.on_promotion("registro", "vm-0", 7)
        self.checker.on_promotion("registro", "vm-0", 6)
        self.assert_only_finding("ONE")


if __name__ == "__main__":
    unittest.main()

"""What endpoints with faulty answers send."""

import asyncio
import random
import unittest

from faulty_answers import AnswerFaults, release

LINES = ["DATAROW row-one", "DATAROW row-two", "COMPLETE 1.ab", "READY I 1.5"]
WHOLE = b"DATAROW row-one\r\nDATAROW row-two\r\nCOMPLETE 1.ab\r\nREADY I 1.5\r\n"


class FakeWriter:
    def __init__(self):
        self.writes = []

    def write(self, data):
        self.writes.append(data)

    @staticmethod
    def is_closing():
        return False


def send(seed, **ratios):
    """Returns what one answer becomes, and the kinds of its faults."""
    kinds = []
    faults = AnswerFaults(random.Random(seed),
                          lambda kind, _description: kinds.append(kind))
    faults.second_ratio = faults.damaged_ratio = faults.late_ratio = 0.0
    faults.max_delay_s = 0.0
    for name, ratio in ratios.items():
        setattr(faults, name, ratio)
    writer = FakeWriter()

    async def run():
        held = []
        await faults.send(writer, LINES, "statement", held)
        if held:
            assert writer.writes == [WHOLE]
            release(writer, [(0.0, data) for _, data in held])
        await asyncio.sleep(0.001)

    asyncio.run(run())
    return writer.writes, kinds


class AnswerFaultsTest(unittest.TestCase):
    def test_answer_without_fault_is_whole(self):
        self.assertEqual(send(1), ([WHOLE], []))

    def test_second_answer_follows_the_whole_first_one(self):
        for seed in range(50):
            writes, kinds = send(seed, second_ratio=1.0, altered_ratio=0.0)
            self.assertEqual(b"".join(writes), WHOLE + WHOLE)
            self.assertIn(kinds, [["second"], ["held"]])

    def test_altered_second_answers_are_of_all_kinds(self):
        seconds = set()
        for seed in range(400):
            writes, _ = send(seed, second_ratio=1.0, altered_ratio=1.0)
            data = b"".join(writes)
            self.assertTrue(data.startswith(WHOLE))
            self.assertNotEqual(data, WHOLE + WHOLE)
            seconds.add(data[len(WHOLE):])
        self.assertIn(b"COMPLETE -\r\nREADY I 1.5\r\n", seconds)
        self.assertIn(b"ERROR BUSY -\r\nREADY I 1.5\r\n", seconds)
        cuts = {len(s) for s in seconds if WHOLE.startswith(s)}
        self.assertGreater(len(cuts), len(WHOLE) / 2)

    def test_no_row_is_left_out_of_a_first_answer(self):
        answers = set()
        for seed in range(400):
            writes, kinds = send(seed, damaged_ratio=1.0)
            self.assertEqual(kinds, ["damaged"])
            answers.update(writes)
        self.assertNotIn(WHOLE, answers)
        for answer in answers:
            self.assertIn(b"DATAROW row-one", answer)
            self.assertIn(b"DATAROW row-two", answer)
        self.assertIn(WHOLE.replace(b"COMPLETE 1.ab\r\n", b""), answers)
        self.assertIn(WHOLE.replace(b"row-one\r\n", b"row-one\n"), answers)
        self.assertIn(WHOLE.replace(b"row-one\r\n", b"row-one\r"), answers)
        self.assertIn(WHOLE.replace(b"row-one\r\n", b"row-one"), answers)


if __name__ == "__main__":
    unittest.main()

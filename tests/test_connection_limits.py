"""Which connections a listener closes when room is short; without a network."""

import unittest

from knapweedshed.decisions.overload.connection_limits import (
    MIN_CONNECTION_COUNT,
    ConnectionState,
    ListenerLimits,
    choose_for_memory,
    choose_for_room,
    derive_host_limits,
    find_connection_limit,
    find_overdue,
    is_short,
)

LIMITS = ListenerLimits(unfinished_ms=3_000, idle_ms=15_000)
MB = 1024 * 1024


class ConnectionLimitsTest(unittest.TestCase):
    """Ordinary callers stay, and a request that has reached the program isn't cut."""

    def test_largest_is_closed_for_memory_and_longest_waiting_for_room(self):
        states = [
            ConnectionState(1, held_bytes=9_000, waiting_ms=10),
            ConnectionState(2, held_bytes=5_000, waiting_ms=900),
        ]
        self.assertEqual(choose_for_memory(LIMITS, states), 1)
        self.assertEqual(choose_for_room(LIMITS, states), 2)

    def test_unknown_key_goes_first_but_not_before_a_much_larger_request(self):
        known = ConnectionState(1, 20_000, 100, known_key=True)
        self.assertEqual(
            choose_for_memory(LIMITS, [known, ConnectionState(2, 8_000, 50)]), 2
        )
        self.assertEqual(
            choose_for_memory(LIMITS, [known, ConnectionState(2, 4_000, 50)]), 1
        )

    def test_request_that_has_reached_the_program_is_never_cut(self):
        serving = ConnectionState(1, 9_000, 99_000, serving=True)
        read_slowly = ConnectionState(2, 9_000, 2_000, unread=True)
        self.assertIsNone(choose_for_room(LIMITS, [serving, read_slowly]))
        self.assertIsNone(choose_for_memory(LIMITS, [serving, read_slowly]))
        self.assertEqual(find_overdue(LIMITS, [serving, read_slowly]), [])

    def test_answer_that_nobody_reads_is_given_up(self):
        unread = ConnectionState(1, 9_000, 3_001, unread=True)
        self.assertEqual(choose_for_memory(LIMITS, [unread]), 1)
        self.assertEqual(find_overdue(LIMITS, [unread]), [1])

    def test_idle_connection_may_stay_longer_than_an_unfinished_request(self):
        states = [
            ConnectionState(1, 4_096, 5_000),
            ConnectionState(2, 4_096, 5_000, idle=True),
            ConnectionState(3, 4_096, 15_001, idle=True),
        ]
        self.assertEqual(find_overdue(LIMITS, states), [1, 3])

    def test_room_is_short_above_half_of_either_limit(self):
        limits = LIMITS._replace(max_memory_bytes=1_000)
        self.assertFalse(is_short(limits, 100, 50, 500))
        self.assertTrue(is_short(limits, 100, 51, 0))
        self.assertTrue(is_short(limits, 100, 0, 501))

    def test_smallest_machine_keeps_sockets_and_memory_for_its_own_work(self):
        derived = LIMITS._replace(max_connections=0, max_memory_bytes=0)
        callers, side = derive_host_limits(derived, 160 * MB, 1_638)
        self.assertEqual((callers.max_connections, side.max_connections), (575, 143))
        self.assertLessEqual(callers.max_memory_bytes, 26 * MB)
        self.assertLessEqual(side.max_memory_bytes, 4 * MB)
        self.assertEqual(find_connection_limit(callers, 60), 575)
        self.assertEqual(find_connection_limit(callers, 1_220), 218)
        self.assertEqual(find_connection_limit(callers, 2_000), MIN_CONNECTION_COUNT)

    def test_unknown_machine_and_given_settings(self):
        derived = LIMITS._replace(max_connections=0, max_memory_bytes=0)
        callers, _ = derive_host_limits(derived, 0, 0)
        self.assertEqual(callers.max_connections, 1_000)
        self.assertEqual(find_connection_limit(callers, 5_000), 1_000)
        given = LIMITS._replace(max_connections=9, max_memory_bytes=100)
        callers, side = derive_host_limits(given, 160 * MB, 1_638)
        self.assertEqual((callers.max_connections, callers.max_memory_bytes), (9, 80))
        self.assertEqual((side.max_connections, side.max_memory_bytes), (9, 10))


if __name__ == "__main__":
    unittest.main()

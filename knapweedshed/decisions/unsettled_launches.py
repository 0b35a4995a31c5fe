"""Launches that the log has rejected, or of which it isn't known if they are in it."""

REJECTED_LAUNCH_DELAY_MS = 5_000


class UnsettledLaunches:
    """When units may be launched again, and the run numbers not to use again."""

    def __init__(self):
        self._postponed_units = {}
        self._given_up_runs = {}

    def postpone(self, launches, now_ms):
        """Launch units again later whose launches the log has rejected."""
        self._postponed_units = {
            unit: until_ms
            for unit, until_ms in self._postponed_units.items()
            if until_ms > now_ms
        }
        for launched in launches:
            self._postponed_units[launched.unit] = now_ms + REJECTED_LAUNCH_DELAY_MS

    def is_postponed(self, unit, now_ms):
        """Return whether a unit must not be launched yet."""
        return now_ms < self._postponed_units.get(unit, now_ms)

    def give_up(self, launches, open_jobs):
        """Use the run numbers of launches that may be in the log no more.

        A record that the log takes late would name other workers than a later launch
        of that number.
        """
        self._given_up_runs = {
            unit: run
            for unit, run in self._given_up_runs.items()
            if unit.job_id in open_jobs
        }
        for launched in launches:
            self._given_up_runs[launched.unit] = launched.run

    def settle(self, unit):
        """Forget the given-up run of a unit, because a later launch was read back."""
        self._given_up_runs.pop(unit, None)

    def last_given_up_run(self, unit):
        """Return the number of a unit's last given-up run, or 0."""
        return self._given_up_runs.get(unit, 0)

"""What this host knows of evacuations, across its terms as acting scheduler."""

from knapweedshed.decisions.evacuation import Evacuations

MAX_NAMES = 20  # in one log line


class EvacuationState:
    """Keeps the last `Evacuations` read, and logs when one begins or ends.

    For use by the scheduling controller only. `limit_ms` is the time limit of an
    evacuation, or 0 if the deployment has none.
    """

    def __init__(self, context, limit_ms):
        self._context = context
        self._known = Evacuations(limit_ms=limit_ms)
        self._began_ms = {}

    @property
    def known(self):
        """Return the last `Evacuations` read."""
        return self._known

    def update(self, message):
        """Apply an `EvacuationsRead`."""
        now_ms = self._context.clock.now_ms()
        earlier = self._known
        self._known = earlier._replace(
            data_centres=message.data_centres, read_ms=message.read_ms
        )
        if earlier.read_ms is not None and not earlier.are_known(now_ms):
            self._log_gap(now_ms - earlier.read_ms)
        begun = message.data_centres - earlier.data_centres
        ended = earlier.data_centres - message.data_centres
        if begun:
            self._begin(begun, now_ms - message.read_ms, now_ms)
        if ended:
            self._end(ended, now_ms - message.read_ms, now_ms)

    def dump(self, now_ms):
        """Return the evacuations in force, and the age of the last read, in ms."""
        read_ms = self._known.read_ms
        return {
            "data_centres": sorted(self._known.data_centres),
            "limit_ms": self._known.limit_ms,
            "read_age_ms": None if read_ms is None else now_ms - read_ms,
        }

    def _begin(self, names, read_age_ms, now_ms):
        self._began_ms.update(dict.fromkeys(names, now_ms))
        self._count("evacuations.begun", names)
        self._context.logger.warning(
            "data centres evacuated",
            extra={
                "data_centres": sorted(names)[:MAX_NAMES],
                "read_age_ms": read_age_ms,
            },
        )

    def _end(self, names, read_age_ms, now_ms):
        """Log the end of evacuations, with the age of the oldest of them."""
        age_ms = max(now_ms - self._began_ms.pop(name) for name in names)
        self._count("evacuations.ended", names)
        self._context.logger.info(
            "evacuation over",
            extra={
                "data_centres": sorted(names)[:MAX_NAMES],
                "age_ms": age_ms,
                "read_age_ms": read_age_ms,
            },
        )

    def _log_gap(self, age_ms):
        """Log that nothing could be started meanwhile, if this host acts."""
        self._context.metrics.count("evacuations.gaps")
        self._context.logger.warning(
            "evacuations not read in time", extra={"age_ms": age_ms}
        )

    def _count(self, metric, names):
        self._context.metrics.count(metric, len(names))
        evacuated = len(self._known.data_centres)
        self._context.metrics.gauge("evacuations.in_force", evacuated)

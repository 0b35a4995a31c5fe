"""Makes the adapters of one process from its settings file."""

import os

from knapweedshed.links.service import ServicePlatform
from knapweedshed.platform.callers import JsonCallers
from knapweedshed.platform.feeds import StoredConfiguration, StoredWorkers
from knapweedshed.platform.settings import load_file
from knapweedshed.platform.store import StoredLog
from knapweedshed.platform.workers import HttpWorker

SETTINGS_VARIABLE = "KNAPWEEDSHED_CONFIG"


class FleetPlatform(ServicePlatform):
    """The platform that the settings file describes."""

    def __init__(self, clock, logger):
        self._clock = clock
        self._logger = logger
        self._store = ""

    def settings(self):
        """Read the settings file; raises ValueError with the fault."""
        path = os.environ.get(SETTINGS_VARIABLE, "")
        if not path:
            raise ValueError(f"{SETTINGS_VARIABLE} names no settings file")
        settings, self._store = load_file(path)
        return settings

    def work_log(self):
        """Return the store's log."""
        return StoredLog(self._clock, self._store)

    def worker(self, entry):
        """Return the calls of one worker."""
        return HttpWorker(self._clock, entry)

    def configuration_feed(self):
        """Return what the operator publishes."""
        return StoredConfiguration(self._clock, self._store, self._logger)

    def worker_feed(self):
        """Return what workers write of themselves."""
        return StoredWorkers(self._clock, self._store, self._logger)

    def caller_codec(self):
        """Return the codec of callers."""
        return JsonCallers()

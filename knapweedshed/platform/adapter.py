"""Platform adapter that is configured by the process's settings file."""

import os

from knapweedshed.links.service import ServicePlatform
from knapweedshed.platform.callers import JsonCallerCodec
from knapweedshed.platform.feeds import StoreConfigurationFeed, StoreWorkerFeed
from knapweedshed.platform.settings import load_settings_file
from knapweedshed.platform.store import StoreLog
from knapweedshed.platform.workers import JsonWorkerCodec

SETTINGS_VARIABLE = "KNAPWEEDSHED_CONFIG"


class FleetPlatform(ServicePlatform):
    """Creates the adapters to the platform that the settings file describes."""

    def __init__(self, clock, logger):
        self._clock = clock
        self._logger = logger
        self._store_address = ""
        self._data_centres = ()

    def settings(self):
        """Return `HostSettings` from the settings file.

        Raises ValueError if it can't be read or is invalid. Must be called before the
        other methods: the settings file has the address of the store.
        """
        path = os.environ.get(SETTINGS_VARIABLE, "")
        if not path:
            raise ValueError(
                f"{SETTINGS_VARIABLE} is not set; expected the path of a settings file"
            )
        settings, self._store_address = load_settings_file(path)
        self._data_centres = settings.data_centres
        return settings

    def work_log(self):
        """Return a client of the log in the store."""
        return StoreLog(self._clock, self._store_address)

    def worker_codec(self):
        """Return the codec of requests to workers."""
        return JsonWorkerCodec()

    def configuration_feed(self):
        """Return the feed of the operator's configuration."""
        return StoreConfigurationFeed(
            self._clock, self._store_address, self._logger, self._data_centres
        )

    def worker_feed(self):
        """Return the feed of the entries that workers write to the store."""
        return StoreWorkerFeed(self._clock, self._store_address, self._logger)

    def caller_codec(self):
        """Return the codec of callers' requests."""
        return JsonCallerCodec()

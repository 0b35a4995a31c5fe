"""Settings of a host that serves multi-step jobs."""

from typing import NamedTuple


class HostSettings(NamedTuple):
    """Settings of one host; addresses are `ip:port`.

    `call_address` serves callers, `readiness_address` the platform's readiness checks.
    `grace_ms` is the time from a stop request to the end of the process, `lease_ms` the
    longest lease that workers grant, `early_ms` how long before its due time a job may
    start, and `log_keep_ms` how long the log retains a record. A record in the log has
    at most `log_record_bytes`, and the records of one append `log_append_bytes`
    together. `cores` is the processing power available to the host, in cores, and
    `link_mbps` the bandwidth of its link. `memory_bytes` and `max_descriptors` are what
    the process may use; 0 if the platform doesn't say. Workers save checkpoints every
    `save_ms` of work, resume from one in `restore_ms`, and stop a run in `stop_ms`.
    Nothing may start in a data centre `evacuation_ms` after its evacuation; 0 if there
    are no evacuations. `data_centres` has the names of all data centres.
    """

    name: str
    data_centre: str
    call_address: str
    readiness_address: str
    grace_ms: int
    lease_ms: int
    early_ms: int
    log_keep_ms: int = 300_000
    log_record_bytes: int = 262_144
    log_append_bytes: int = 2_097_152
    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_bytes: int = 0
    max_descriptors: int = 0
    save_ms: int = 1_000
    restore_ms: int = 0
    stop_ms: int = 200
    evacuation_ms: int = 0
    data_centres: tuple[str, ...] = ()

"""Which policies for overload a host follows."""

from typing import NamedTuple


class OverloadPolicies(NamedTuple):
    """The policies that are in use; without any, decisions ignore overload.

    `headroom` keeps capacity free for waves of urgent work, `costed_preemption` weighs
    what a stop loses, `load_shedding` orders waiting work by what its delay costs,
    `admission_control` rejects submissions that can't end in time, and `drain_notice`
    moves work off workers before they leave. `suspect_avoidance` keeps gangs off
    workers whose last run failed.
    """

    headroom: bool = False
    costed_preemption: bool = False
    load_shedding: bool = False
    admission_control: bool = False
    drain_notice: bool = False
    suspect_avoidance: bool = False


NO_OVERLOAD_POLICIES = OverloadPolicies()


def create_overload_policies(names):
    """Return the `OverloadPolicies` in `names`; raises ValueError for unknown ones."""
    unknown = sorted(set(names) - set(OverloadPolicies._fields))
    if unknown:
        known = ", ".join(OverloadPolicies._fields)
        raise ValueError(f"unknown policy {unknown[0]!r}; expected some of {known}")
    return OverloadPolicies(**dict.fromkeys(names, True))

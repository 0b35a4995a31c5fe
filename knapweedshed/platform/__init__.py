"""Adapter to the `fleet` platform: translates names and messages, decides nothing."""

from knapweedshed.links.service import register_service_platform
from knapweedshed.platform.adapter import FleetPlatform

register_service_platform("fleet", FleetPlatform)

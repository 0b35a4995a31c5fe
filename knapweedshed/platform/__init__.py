"""The users' platform: translates its names and messages, and decides nothing."""

from knapweedshed.links.service import register_service_platform
from knapweedshed.platform.adapter import FleetPlatform

register_service_platform("fleet", FleetPlatform)

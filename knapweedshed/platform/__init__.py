"""Adapter to the `fleet` platform: translates names and messages, decides nothing."""

from knapweedshed.links.configuration_review import register_reviewer
from knapweedshed.links.service import register_service_platform
from knapweedshed.platform.adapter import FleetPlatform
from knapweedshed.platform.configuration_review import FleetConfigurationReviewer

register_service_platform("fleet", FleetPlatform)
register_reviewer("platform", FleetConfigurationReviewer)

"""Choose the replica, or the instance of a plain service, for a request."""

from cranecart.routing._ejection import OutlierEjection
from cranecart.routing._in_flight import Target
from cranecart.routing._paces import StreamPace, TargetPaces
from cranecart.routing._request import RoutingRequest
from cranecart.routing._router import TargetRouter
from cranecart.routing._stalls import StreamActivity

__all__ = (
    'OutlierEjection',
    'TargetRouter',
    'StreamActivity',
    'StreamPace',
    'Target',
    'TargetPaces',
    'RoutingRequest',
)

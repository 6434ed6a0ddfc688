"""Target selection on the native path: replicas and service instances."""

from cranecart.selection._policies import POLICIES, policy_from_name
from cranecart.selection._router import Router

__all__ = ('POLICIES', 'Router', 'policy_from_name')

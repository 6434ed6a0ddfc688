"""What each model's requests take of the engines, as a node measures it."""

from cranecart.demand._demand import DemandMeter

__all__ = ('DemandMeter',)

"""Measurement of each model's demand by a node."""

from cranecart.demand._demand import DemandMeter

__all__ = ('DemandMeter',)

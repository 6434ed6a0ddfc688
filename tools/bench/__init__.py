"""Measured slopes: what nodes cost, against baselines of the same run."""

"""Simulations, fakes and helpers that several tests share."""

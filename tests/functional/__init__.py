"""Tests with real processes on loopback addresses."""

"""Benchmarks of node cost by size, with baselines from the same run."""

"""Tests: ``unit`` needs no process, ``functional`` starts real ones."""

from hypothesis import settings

# The same verdict on every run: examples follow from the test alone.
settings.register_profile(
    'steady',
    derandomize=True,
    deadline=None,
    database=None,
)
settings.load_profile('steady')

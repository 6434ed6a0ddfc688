"""Programs for developers: the demo, the bench, the soak; not shipped."""

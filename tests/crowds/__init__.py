"""Crowds of misbehaving clients, each alone on the machine."""

"""Serve language models whose replicas span several instances."""

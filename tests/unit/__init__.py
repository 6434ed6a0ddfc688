"""Tests that start no process and open no socket."""

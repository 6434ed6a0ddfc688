"""Tests in a single process; their sockets are on the loopback interface."""

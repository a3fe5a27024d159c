"""Benchmarks of the decisions and of the cost of control."""

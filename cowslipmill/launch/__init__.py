"""Starts a deployment on one machine for demo, tests and benchmarks."""

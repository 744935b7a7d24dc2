"""Collects which document each host of a deployment has in force."""

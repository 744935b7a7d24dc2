"""Runs a complete deployment on one machine with sample requests."""

"""Tests of suspect requests."""

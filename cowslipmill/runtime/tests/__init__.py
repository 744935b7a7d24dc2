"""Tests of the code that all programs share."""

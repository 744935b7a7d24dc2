"""Tests of the messaging between peers."""

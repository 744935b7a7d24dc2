"""Offline validation of settings files and documents."""

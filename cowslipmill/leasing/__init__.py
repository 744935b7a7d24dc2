"""Homes in each failure domain lend the slots of its servers."""

"""Probing backend servers within their measuring budget."""

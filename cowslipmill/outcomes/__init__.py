"""Outcomes of requests and the HTTP responses that report them."""

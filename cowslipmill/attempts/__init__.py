"""The steps of one request, from arrival to its outcome."""

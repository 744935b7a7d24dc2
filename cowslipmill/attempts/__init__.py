"""State machine of one request and its attempts."""

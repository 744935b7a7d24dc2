"""What each program shares: command line, event loop, stop."""

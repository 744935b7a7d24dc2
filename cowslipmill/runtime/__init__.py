"""Code that all programs share: command line, event loop and shutdown."""

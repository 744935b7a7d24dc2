"""Client and watcher of the values that the platform publishes."""

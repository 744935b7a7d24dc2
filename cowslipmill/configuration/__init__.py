"""Document in force on a host: updates, deltas, watcher selection."""

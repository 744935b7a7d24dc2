"""The document in force: verdicts, deltas and watchers."""

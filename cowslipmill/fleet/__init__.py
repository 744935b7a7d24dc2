"""The hosts of a deployment: member list and messages between hosts."""

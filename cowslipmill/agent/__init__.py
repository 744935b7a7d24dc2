"""The control process of one host."""

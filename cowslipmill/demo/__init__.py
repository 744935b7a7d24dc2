"""A whole deployment on one machine, for a first look."""

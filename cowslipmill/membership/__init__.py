"""Which entry hosts there are, learned and kept by their agents."""

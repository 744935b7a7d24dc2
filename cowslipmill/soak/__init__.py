"""A randomized soak of real host processes under faults from outside."""

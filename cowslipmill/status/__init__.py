"""What each host of a deployment has in force."""

"""The entry process: accepts requests and forwards them to servers."""

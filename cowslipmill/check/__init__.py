"""The offline check of settings and documents."""

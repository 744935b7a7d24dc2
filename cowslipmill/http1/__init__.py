"""HTTP/1.1 connections to callers and to servers, parsed by httptools."""

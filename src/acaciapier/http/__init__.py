"""HTTP/1.1 connections, as server and as client."""

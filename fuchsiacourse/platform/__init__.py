"""Adapter to the users' platform; it only translates formats."""

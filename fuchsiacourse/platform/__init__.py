"""Adapter to the users' platform; translates formats without decisions."""

"""Tests, one file a module."""

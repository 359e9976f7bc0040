"""Runs that demonstrate, measure and prove the fleet."""

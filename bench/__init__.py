"""Programs that demonstrate, measure and test the fleet."""

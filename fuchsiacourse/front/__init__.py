"""One-hop front: serves callers and sends their requests to targets."""

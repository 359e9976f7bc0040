"""One-hop front: accepts callers' requests and forwards them to targets."""

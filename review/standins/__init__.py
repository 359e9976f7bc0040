"""Stand-ins for the platform, the upstreams and the clients."""

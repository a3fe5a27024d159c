"""Stand-ins of the gateways' platform: store, upstreams and callers.

They follow the platform's published documentation. `world` runs a fleet of
gateways against them in virtual time, without a network. The HTTP servers
serve the tests and soak runs of the real gateway processes.
"""

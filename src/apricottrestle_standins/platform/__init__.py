"""Stand-ins of the users' platform: store, engines, plain services, callers.

Written from the platform's published pages. `world` runs whole fleets of
gateways against them in virtual time, without network; the HTTP servers serve
tests and soaks of the real programs.
"""

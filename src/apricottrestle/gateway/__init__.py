"""The gateway: an entry that reaches upstreams over HTTP, without agents.

The modules of this package are independent of the platform's transport and of
its names on the wire; `apricottrestle.platform` implements both.
"""

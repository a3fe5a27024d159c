"""The gateway: an entry that reaches upstreams over HTTP, without agents.

The modules decide over tables and know neither the platform's wire names nor
its transport; `apricottrestle.platform` translates both.
"""

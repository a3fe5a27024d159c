"""Stand-ins for upstreams and the platform, the load tool and the demo.

The product never imports this package; a test checks that.
"""

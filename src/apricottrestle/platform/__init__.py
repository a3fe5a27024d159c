"""Adapter between the gateway and the users' platform.

Converts the platform's settings, HTTP messages and store records to the
gateway's types and back. Apart from connections it keeps no state between
calls, and it makes no scheduling or routing decisions.
"""

"""Adapter between the gateway and the users' platform.

Translates the platform's settings, HTTP messages and store records into the
gateway's types and back. It holds no state that outlives a call other than
connections, and decides nothing.
"""

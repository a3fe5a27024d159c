"""Serving layer for language-model prompts of 1k to 1M tokens.

Importing the package has no side effects. The daemons are in `entry_daemon` and
`agent_daemon`, the command-line interface is in `cli`.
"""

__version__ = "0.1.0"

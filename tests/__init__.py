"""Tests of the package and its stand-ins."""

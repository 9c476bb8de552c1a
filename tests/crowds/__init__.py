"""Crowds of clients that overload real processes; these tests run one at a time."""

"""Measurements of ashlatch, each against a baseline in the same run."""

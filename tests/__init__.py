"""Tests of ashlatch."""

"""Benchmarks of ashlatch, each compared with a baseline in the same run."""

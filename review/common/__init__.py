"""Stand-ins and helpers of the review's scripts; they use the standard library only."""

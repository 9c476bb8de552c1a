"""Small stand-ins for the outside systems, each a process of its own."""

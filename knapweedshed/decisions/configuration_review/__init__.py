"""Review of a configuration before it is published: faults and differences."""

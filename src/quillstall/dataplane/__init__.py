"""The data plane: routing nodes, which hold no durable state, so any of them may be lost at any time."""

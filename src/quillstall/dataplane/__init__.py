"""The data plane: a routing node. Cheap, no disk, may be lost at any moment."""

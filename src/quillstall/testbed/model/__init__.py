"""A model checker for the replication and election reducers: small clusters, every order of events."""

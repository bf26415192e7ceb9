"""Proof: stand-in callers and replicas, fleet runner, simulator, judge."""

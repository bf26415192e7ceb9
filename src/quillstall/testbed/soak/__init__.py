"""Soak runs: a fleet of real processes under overlapping failures, judged by what its clients and replicas saw."""

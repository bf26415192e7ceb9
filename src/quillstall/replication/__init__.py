"""Replica sets, the ballots of the voters, the lease quorum, placement and failure detection."""

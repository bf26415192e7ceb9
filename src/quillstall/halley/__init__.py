"""What both programs share: startup, errors, wire, clock, disk, group replication."""

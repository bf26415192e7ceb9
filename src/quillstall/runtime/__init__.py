"""Runtime: what a process stands on: its clock, disk, journal, effects, errors and main loop."""

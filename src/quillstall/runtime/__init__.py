"""The runtime of a process: clock, disk, journal, effects, errors and the loop that runs a reducer."""

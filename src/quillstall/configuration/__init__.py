"""The operator's policy, with its rules and checks, and the startup settings of a process."""

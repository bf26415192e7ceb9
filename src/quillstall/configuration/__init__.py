"""Configuration: the operator's policy, its rules and checks, and a process's startup settings."""

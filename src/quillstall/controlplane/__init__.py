"""The control plane: core processes, store processes and the operators' commands."""

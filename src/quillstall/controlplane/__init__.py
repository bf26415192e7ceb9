"""The control plane: core and stores, and the operator's verbs."""

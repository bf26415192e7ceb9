"""Network: messages between our processes, HTTP servers and clients, and the platform's list of replicas."""

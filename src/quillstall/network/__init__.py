"""Messages between processes, HTTP servers and clients, and the list of replicas that the platform provides."""

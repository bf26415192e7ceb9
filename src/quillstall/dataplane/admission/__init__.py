"""Admission: each task of a routing node is sent at once, queued for a short time, or refused at once."""

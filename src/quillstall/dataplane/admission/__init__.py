"""Admission: for every task of a routing node, send it now, let it wait briefly, or refuse it at once."""

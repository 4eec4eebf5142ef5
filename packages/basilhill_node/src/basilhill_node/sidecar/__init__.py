"""The node on a platform whose clients and servers speak plain HTTP."""

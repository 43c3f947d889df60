"""The object front: a path-style subset of the S3 REST interface on the same core."""

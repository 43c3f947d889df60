"""Objects over a subset of the S3 REST interface: a front, a catalogue, and blobs on storage nodes."""

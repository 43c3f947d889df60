"""The core of a broker: requests, their attempts and their final answers, without I/O or threads."""

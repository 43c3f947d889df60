"""The core of a broker: requests, their attempts and their final answers. It knows no wire or thread."""

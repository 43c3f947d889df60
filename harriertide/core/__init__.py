"""The core: requests, attempts and final answers. It knows no wire."""

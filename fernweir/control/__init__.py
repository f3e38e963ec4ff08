"""The control protocol: operators' commands over a Unix socket, and the rules that decide on them."""

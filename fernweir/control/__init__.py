"""The control channel: operators' commands over a Unix socket, and the rules that make them safe."""

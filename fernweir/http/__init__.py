"""HTTP/1.1 (RFC 9110, RFC 9112) and Server-Sent Events: parsers without I/O, and asyncio transports."""

"""The way to an entitlement server: what is said, in which order it goes out, and when it is said again."""

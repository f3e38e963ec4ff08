"""Provides access to an entitlement server: requests, their order, retries, and token introspection."""

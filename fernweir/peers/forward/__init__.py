"""Requests that came to a front whose session is another's, carried there and answered through here."""

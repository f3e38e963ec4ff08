"""One unit that runs a site: its files, its processes, its orders."""

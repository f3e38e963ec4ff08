"""A unit, which runs the fronts of a site: its folder, its processes, its orders and its backups."""

"""Facts that fronts publish of themselves: spread, repaired, bounded; and large blobs over connections."""

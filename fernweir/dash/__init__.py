"""DASH media presentation descriptions (ISO/IEC 23009-1): model, reader, writer, segment addresses."""

"""The journal of decisions: what a front did with each session, and the views that fold from it."""

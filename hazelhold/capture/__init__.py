"""Traffic in capture files: written from a planner's exchanges, read, cut, and replayed. Nothing is
captured live."""

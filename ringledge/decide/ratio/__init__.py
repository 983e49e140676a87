"""Role planning for mixed servers: demand and service rate estimates, targets and plans."""

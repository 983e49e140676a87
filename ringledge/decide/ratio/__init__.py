"""The roles of mixed servers: demand, service rates, targets and plans."""

"""Decisions on the endpoint list: start times of servers, and the timeout of a watch."""

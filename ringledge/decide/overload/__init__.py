"""Overload control: admission of requests while the process is short of resources."""

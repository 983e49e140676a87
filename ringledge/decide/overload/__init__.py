"""Overload control: which requests are admitted while the process is short of resources."""

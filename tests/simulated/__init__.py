"""Members in virtual time: the program's own deciders, a bad network, and true time to judge by."""

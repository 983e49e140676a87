"""Simulation of members in virtual time: the program's deciders on a faulty network, checked in true time."""

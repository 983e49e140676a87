"""Settings of all tests."""

from hypothesis import settings

# A verdict must not hang on how busy the machine is: a slow example is no failure.
settings.register_profile("steady", deadline=None)
settings.load_profile("steady")

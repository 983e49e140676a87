"""``python -m ringledge``: the command line, where ``serve`` is the default."""

from ringledge.cli import main

if __name__ == "__main__":
    main()

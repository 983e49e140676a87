"""Entry point of ``python -m ringledge``; without a command it runs ``serve``."""

from ringledge.cli import main

if __name__ == "__main__":
    main()

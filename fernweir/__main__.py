"""`python -m fernweir` is the command line."""

from fernweir.cli import main

if __name__ == "__main__":
    main()

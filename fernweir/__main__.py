"""`python -m fernweir` is the command line. A front node has little memory: it loads nothing but itself."""

import sys

if __name__ == "__main__":
    if sys.argv[1:] == ["node"]:
        from fernweir.node.program import main as node

        sys.exit(node())
    from fernweir.cli import main

    main()

"""Command line of `python -m fernweir`; a front node imports only its own modules, to save memory."""

import sys

if __name__ == "__main__":
    if sys.argv[1:] == ["node"]:
        from fernweir.node.program import main as node

        sys.exit(node())
    from fernweir.cli import main

    main()

"""`python -m plankroute`: one real steward, told by GW_CONFIG what it is."""

import sys

from plankroute.net.service import main

if __name__ == "__main__":
    sys.exit(main())

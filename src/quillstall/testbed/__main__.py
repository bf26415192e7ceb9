"""python -m quillstall.testbed"""

import sys

from quillstall.testbed.main import main

sys.exit(main())

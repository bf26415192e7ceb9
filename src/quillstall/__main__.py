"""python -m quillstall"""

import sys

from quillstall.main import main

sys.exit(main())

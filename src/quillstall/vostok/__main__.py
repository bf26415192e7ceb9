"""python -m quillstall.vostok"""

import sys

from quillstall.vostok.main import main

sys.exit(main())

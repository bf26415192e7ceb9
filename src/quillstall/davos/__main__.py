"""python -m quillstall.davos"""

import sys

from quillstall.davos.main import main

sys.exit(main())

"""python -m quillstall.sonnblick"""

import sys

from quillstall.sonnblick.main import main

sys.exit(main())

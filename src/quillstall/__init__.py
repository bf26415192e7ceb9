"""quillstall serves agent programs as whole programs: see docs/design.md."""

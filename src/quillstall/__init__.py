"""quillstall: a serving tier for agent programs."""

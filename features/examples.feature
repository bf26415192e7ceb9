Feature: The examples in docstrings hold

  Scenario Outline: every example of the package <name>
    When the examples of "<name>" are run
    Then there are examples and none fails

    Examples:
      | name                |
      | quillstall.replication   |
      | quillstall.network       |
      | quillstall.runtime       |
      | quillstall.configuration |
      | quillstall.controlplane  |
      | quillstall.dataplane     |
      | quillstall.dataplane.admission |
      | quillstall.testbed       |
      | quillstall.testbed.model |

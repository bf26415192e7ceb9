Feature: Each routing node has a fresh list of replicas, or fetches it from the platform itself

  Scenario: the primary of the core cannot reach the platform
    Given the deployment "cartalume" in the simulator with seed 1
    And a platform that lists a replica as ready
    When the primary of the core is partitioned from the platform, and the replica begins to drain 5 s later
    Then each routing node that reaches the platform knows of the drain within 3 s

  Scenario: the core's clock is ahead, and a routing node that loses the core fetches the list itself
    Given the deployment "cartalume" in the simulator with seed 1
    And a platform that lists a replica as ready
    And the wall clocks of the core are 5 s off
    When a routing node that just received a list is partitioned from the core, and the replica begins to drain
    Then each routing node that reaches the platform knows of the drain within 3 s

  Scenario: the core's clock is behind, and a routing node that fetched the list itself reaches the core again
    Given the deployment "cartalume" in the simulator with seed 1
    And a platform that lists a replica as ready
    And the wall clocks of the core are -7 s off
    When a routing node that fetched a list itself reaches only the core again, and the replica begins to drain
    Then each routing node that reaches the platform knows of the drain within 3 s

  Scenario: the age of a list is preserved, whatever the clocks show
    Given a list that was fetched 700 ms ago by a process whose clock is 5 s ahead
    When a routing node receives it in the reply to a poll that it sent 300 ms ago
    Then the node counts it as fetched 1000 ms ago

Feature: Each routing node has a fresh list of replicas, or asks for it itself

  Scenario: the primary of the core cannot reach the platform
    Given the deployment "cartalume" in the simulator with seed 1
    And a platform that lists a replica as ready
    When the primary of the core is cut off from the platform, and the replica begins to drain 5 s later
    Then each routing node in touch with the platform knows it within 3 s

  Scenario: the core's clock is ahead, and a routing node that loses the core asks for itself
    Given the deployment "cartalume" in the simulator with seed 1
    And a platform that lists a replica as ready
    And the wall clocks of the core are 5 s off
    When a routing node with a list just given by the core is cut off from it, and the replica begins to drain
    Then each routing node in touch with the platform knows it within 3 s

  Scenario: the core's clock is behind, and a routing node that asked for itself has the core back
    Given the deployment "cartalume" in the simulator with seed 1
    And a platform that lists a replica as ready
    And the wall clocks of the core are -7 s off
    When a routing node with a list of its own reaches only the core again, and the replica begins to drain
    Then each routing node in touch with the platform knows it within 3 s

  Scenario: an age is carried on, whatever the clocks say
    Given a list that was looked up 700 ms ago by a process whose clock is 5 s ahead
    When a routing node takes it in an answer to a poll that it sent 300 ms ago
    Then the node counts it as looked up 1000 ms ago

Feature: A fleet without traffic does little

  The timers that each process starts and the messages that it sends in a second of virtual time are bounded, so
  that the cost of an idle fleet does not grow unnoticed (docs/control-and-state/processor-cost.md).

  Scenario: timers and messages of each role in an idle second
    Given a simulated fleet of 24 routing nodes and 6 stores without traffic for 10 seconds
    Then a routing node started at most 5.5 timers and sent at most 5 messages a second
    And a store started at most 10.5 timers and sent at most 8.5 messages a second
    And the leading core checked for a new allocation at most 4 times for each poll that it answered
    And the leading core committed at most 8 batches of polls a second

Feature: A fleet without traffic does little

  What each process does in a second of virtual time is counted: clock events that it sets, and messages that
  it sends. The bounds are a little over what was counted when they were written (docs/control-and-state/processor-cost.md).

  Scenario: clock events and messages of each role in a quiet second
    Given a simulated fleet of 24 routing nodes and 6 stores without traffic for 10 seconds
    Then a routing node set at most 5.5 clock events and sent at most 5 messages a second
    And a store set at most 10.5 clock events and sent at most 8.5 messages a second
    And the leading core looked for news at most 4 times for each poll that it answered
    And the leading core had at most 8 batches of polls confirmed a second

Feature: A turn is sent only with the time left that it should take at its replica

  Scenario: a turn that waited for its store and meets a replica new to its shared prompt is refused
    Given a simulated fleet whose routing node has seen turns of 0.9 s and of 0.3 s, by whether their shared prompt was new
    When a turn with a new shared prompt has 0.65 s left as its store returns
    Then it is refused as not run, and no replica has seen it
    And the judge finds nothing

  Scenario: a turn that waited as long and meets a replica that has read its shared prompt is sent
    Given a simulated fleet whose routing node has seen turns of 0.9 s and of 0.3 s, by whether their shared prompt was new
    When a turn with a known shared prompt has 0.65 s left as its store returns
    Then it is answered in time
    And the judge finds nothing

  Scenario: a turn sent on trial gets its hold from its store
    Given a simulated fleet whose routing node has seen turns of 0.9 s and of 0.3 s, by whether their shared prompt was new
    When its route has lately taken 10 s, and a turn with a known shared prompt comes
    Then it is answered in time

  Scenario: what a replica has read counts as forgotten once it could not be reached
    Given a routing node that has learnt 0.3 s at "a", where the shared prompt was read, and 0.9 s where it was new
    Then a turn needs 300 to 500 ms at "a" and 800 to 1000 ms at "b"
    When "a" answers badly once
    Then a turn needs 300 to 500 ms at "a" and 800 to 1000 ms at "b"
    When "a" cannot be reached
    Then a turn needs 800 to 1000 ms at "a" and 800 to 1000 ms at "b"

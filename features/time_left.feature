Feature: A turn is sent only with the time left that it should take at its replica

  Scenario: a turn that waited for its store and meets a replica new to its shared prompt is refused
    Given a simulated fleet whose routing node has measured turns of 0.9 s with a new shared prompt and of 0.3 s with a known one
    When a turn with a new shared prompt has 0.65 s left when its store answers
    Then it is refused as not run, and no replica has received it
    And the judge finds nothing

  Scenario: a turn that waited as long and meets a replica that has read its shared prompt is sent
    Given a simulated fleet whose routing node has measured turns of 0.9 s with a new shared prompt and of 0.3 s with a known one
    When a turn with a known shared prompt has 0.65 s left when its store answers
    Then it is answered in time
    And the judge finds nothing

  Scenario: a turn sent on trial gets its reservation from its store
    Given a simulated fleet whose routing node has measured turns of 0.9 s with a new shared prompt and of 0.3 s with a known one
    When its route has recently taken 10 s, and a turn with a known shared prompt arrives
    Then it is answered in time

  Scenario: a replica that could not be reached counts as having lost its prefix cache
    Given a routing node that has measured 0.3 s at "a", where the shared prompt is cached, and 0.9 s where it is new
    Then a turn needs 300 to 500 ms at "a" and 800 to 1000 ms at "b"
    When "a" answers badly once
    Then a turn needs 300 to 500 ms at "a" and 800 to 1000 ms at "b"
    When "a" cannot be reached
    Then a turn needs 800 to 1000 ms at "a" and 800 to 1000 ms at "b"

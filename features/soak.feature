@processes
Feature: Overlapping failures on real processes break no promise

  The short form of `quillstall-testbed soak`: the same fleet, clients, replicas, operators and judge, one act a seed, with
  the invariants on. The long form plays many seeds with three acts each. All processes share this machine's disk: a run in
  which it stood still, and in which service alone suffered, says nothing and is played again, twice at most.

  Scenario Outline: troubles that overlap, seed <seed>
    When the soak plays seed <seed> with 1 act
    Then the soak found nothing, and every kind of request was served

    Examples:
      | seed |
      | 3    |
      | 15   |
      | 25   |

  # A larger fleet, whose troubles have a series of signals on one process beside them.
  Scenario: troubles that overlap in a fleet of 24 processes
    When the soak plays seed 8 with 1 act in a medium fleet
    Then the soak found nothing, and every kind of request was served

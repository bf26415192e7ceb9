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

  # Guards against a soak that excuses an end by a signal, or counts one that no program can prevent.
  Scenario Outline: an end by SIGTERM is expected only of a process that has not run its first line, <state>
    Given a process of the soak that is <state>
    When the soak sends it SIGTERM and lets it run
    Then its end by that signal is <verdict>

    Examples:
      | state                                  | verdict  |
      | stopped for 1.5 s since its start      | expected |
      | running, and told to end by its signal | reported |

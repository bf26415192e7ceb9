@processes
Feature: A small scale run holds what it promises

  Counts and invariants of a small fixed setting are asserted, never times.

  Scenario: hollow nodes hold leases and slots, take every change, and hear of losses
    Given a scale run of 8 hollow nodes, 2 real ones and 28 replicas that kills a store and the core's primary
    Then every hollow node had a lease, an allotment and all parts
    And no replica's slots were given out more than once
    And each change was acknowledged, and in force at every node that could send by then
    And every hollow node heard of each loss
    And polls, pings and bytes were counted for every hollow node
    And the table and the picture's numbers have the run in them
    And nothing that it started still runs

  Scenario: the run keeps to its bounds
    When a scale run is asked for more nodes, more replicas, or after its time
    Then it says why it stopped and has started nothing

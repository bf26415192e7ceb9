Feature: Failed requests and slow disks can be explained afterwards

  Scenario: a request whose attempts failed is recorded with its replicas, times and causes
    Given 1 node and the replicas "a b"
    And the replicas will in turn "close, close"
    When "/any/x" is requested
    Then the failure log has it with status 502 and 2 attempts, each lost at a different replica
    And the log has a line "request_failed" with its id

  Scenario: a request that was refused before any attempt is recorded with the cause
    Given 1 node and the replicas "a"
    And every partition is unreachable
    When "/turn/x" is requested with 300 ms
    Then the failure log has it with status 503 and 0 attempts, code "store_away"

  Scenario: of many failures in a second one line is logged, and all are recorded
    Given 1 node and the replicas "a"
    And the replicas will in turn "close, close"
    When "/once/x" is asked 2 times in sequence
    Then 2 failures are recorded, and 1 line "request_failed" is logged

  Scenario: the metrics of a node are available as text
    Given 1 node and the replicas "a"
    When "/once/x" is requested
    Then its metrics show "http.requests" at 1 and a lease of more than 50 seconds

  Scenario: a store logs a slow sync
    When a store's disk stalls for 1 second in a deployment with traffic
    Then its journal has a line "sync_slow" of 900 ms or more, and no more than one a second

  # Guards against a doctor that fails with a traceback just when a store reports a partition that it cannot serve.
  Scenario: doctor names a partition that a store cannot serve, and the backup that it waits for
    Given a store that has waited for its backup "s2" for 5 seconds
    When doctor reads the status of a core to which it reported that
    Then doctor warns of "p00@s1": "its backup s2 does not confirm"

  # Guards against a fleet that nobody tells that it cannot bear the losses that it shall bear (issue 37).
  Scenario Outline: doctor tells whether the core has enough voters, <cores> cores and <losses> losses
    When doctor reads the status of a simulated fleet with <cores> cores that shall bear <losses> losses
    Then doctor <tells> that the core has too few voters

    Examples:
      | cores | losses | tells        |
      | 3     | 1      | does not say |
      | 3     | 2      | warns        |

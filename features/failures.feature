Feature: The invariants hold under every kind of failure

  Each history is a whole deployment under its traffic, with operators who keep changing the policy, and the
  named failures; the judge checks it against every rule of the requirements.

  Scenario Outline: <kind> at <deploy>, seed <seed>
    Given the deployment "<deploy>" in the simulator with seed <seed>
    When "<kind>" happens 2 times
    Then no rule is broken
    And policies were acknowledged meanwhile

    Examples: the core
      | kind        | deploy     | seed |
      | core_kill   | cartalume  | 11   |
      | core_freeze | hipotecalc | 12   |
      | core_cut    | cartalume  | 13   |
      | core_link   | cartalume  | 14   |
      | core_split  | hipotecalc | 15   |
      | core_empty  | cartalume  | 16   |
      | core_swap   | hipotecalc | 17   |

  Scenario Outline: started again with the files of the first day, at <deploy>, seed <seed>
    Given the deployment "<deploy>" in the simulator with seed <seed>
    When "old_settings" happens 1 times
    Then no rule is broken

    Examples:
      | deploy     | seed |
      | hipotecalc | 1    |
      | cartalume  | 4    |

  Scenario Outline: <kind> at <deploy>, seed <seed>
    Given the deployment "<deploy>" in the simulator with seed <seed>
    When "<kind>" happens 2 times
    Then no rule is broken
    And policies were acknowledged meanwhile

    Examples: the stores
      | kind         | deploy     | seed |
      | store_kill   | cartalume  | 21   |
      | store_freeze | cartalume  | 22   |
      | store_cut    | hipotecalc | 23   |
      | store_empty  | cartalume  | 24   |
      | store_swap   | cartalume  | 25   |
      | store_retire | cartalume  | 26   |
      | disk_full    | cartalume  | 27   |
      | disk_full    | hipotecalc | 28   |
      | disk_stall   | cartalume  | 29   |
      | disk_stall   | hipotecalc | 30   |
      | disk_refuse  | cartalume  | 31   |

    Examples: routing nodes and replicas
      | kind           | deploy     | seed |
      | route_kill     | cartalume  | 31   |
      | route_freeze   | cartalume  | 32   |
      | route_cut      | cartalume  | 33   |
      | route_alone    | cartalume  | 37   |
      | route_add      | hipotecalc | 38   |
      | replica        | hipotecalc | 34   |
      | replica_leaves | cartalume  | 35   |
      | replicas_bad   | cartalume  | 39   |
      | crowd          | cartalume  | 36   |
      | flood          | cartalume  | 1    |
      | streams_cut    | cartalume  | 1    |

    Examples: all at once
      | kind     | deploy     | seed |
      | zone     | hipotecalc | 41   |
      | close    | cartalume  | 42   |
      | core_all | cartalume  | 43   |
      | clocks   | cartalume  | 2    |
      | clock_step | cartalume  | 46   |
      | clock_step | hipotecalc | 47   |
      | together | cartalume  | 44   |
      | together | hipotecalc | 45   |

  Scenario Outline: the leader is cut off for 20 s three times at <deploy>, seed <seed>
    Given the deployment "<deploy>" in the simulator with seed <seed>
    When "leader_cuts" happens 1 times
    Then no rule is broken
    And policies were acknowledged meanwhile

    Examples:
      | deploy     | seed |
      | cartalume  | 51   |
      | hipotecalc | 52   |
      | cartalume  | 53   |

  Scenario Outline: what the search found, seed <seed>
    Given the deployment "<deploy>" in the simulator with seed <seed>
    When any failures happen <count> times
    Then no rule is broken

    Examples:
      | deploy    | seed | count |
      | cartalume | 102  | 5     |
      | cartalume | 1203 | 4     |

  Scenario: a backup that the primary cannot hear takes over
    Given the deployment "cartalume" in the simulator with seed 1
    When the backup's replies to the primary are lost, and the primary's messages to the third member
    Then the core answers again within 5 seconds, with the backup as primary, after one failover

  Scenario Outline: the judge can fail: <way>
    Given the deployment "cartalume" in the simulator with seed <seed>
    And a fleet that breaks a rule: "<way>"
    When "<kind>" happens <count> times
    Then the judge finds "<finding>"

    Examples:
      | way          | kind                   | seed | count | finding   |
      | skip_backup  | core_link              | 1    | 2     | one_wins  |
      | keep_lease   | route_alone            | 2    | 2     | in_force  |
      | forget_begun | replicas_bad           | 1    | 2     | once      |
      | spend_freely | crowd                  | 1    | 1     | budget    |
      | early_ack    | crowd                  | 1    | 1     | in_force  |
      | no_greeting  | old_settings           | 1    | 1     | found     |
      | lost_is_unsent | replicas_bad         | 1    | 2     | refusal   |
      | hold_refusals  | flood                | 1    | 1     | refusal_in_time |
      | one_key        | crowd                | 1    | 1     | own_answer      |
      | cut_is_end     | streams_cut          | 2    | 1     | stream_whole    |
      | gap            | crowd                | 1    | 1     | stream_whole    |
      | double         | crowd                | 1    | 1     | stream_whole    |
      | join           | replica              | 1    | 3     | stream_whole    |
      | sweep_early    | crowd                | 1    | 1     | history_kept    |
      | ignore_disk    | disk_full            | 1    | 1     | disk_blocked    |
      | ignore_disk    | disk_stall           | 2    | 1     | disk_blocked    |
      | trust_clocks   | clocks               | 2    | 1     | history_kept    |
      | ignore_leaving | replica_leaves       | 1    | 2     | leaving         |
      | take_invalid   | crowd                | 1    | 1     | invalid         |
      | losing_applies | crowd                | 1    | 1     | refused_shows   |
      | copy_nothing   | core_empty           | 1    | 2     | acknowledged    |
      | any_service    | crowd                | 1    | 1     | service         |

  Scenario: a primary that thaws after a failover can answer nothing
    Given the deployment "cartalume" in the simulator with seed 3
    When the core's primary freezes, another takes over, and the first thaws and gets requests at once
    Then it answers neither a write nor a read with success, and the policy of the other is in force

  Scenario: a primary that thaws after a failover and receives no updates can answer nothing either
    Given the deployment "cartalume" in the simulator with seed 3
    And a fleet that breaks a rule: "deaf"
    When the core's primary freezes, another takes over, and the first thaws and gets requests at once
    Then it answers neither a write nor a read with success, and the policy of the other is in force

  Scenario: the judge can fail: a backup that confirms an epoch that is over
    Given the deployment "cartalume" in the simulator with seed 3
    And a fleet that breaks a rule: "deaf_old_epoch"
    When the core's primary freezes, another takes over, and the first thaws and gets requests at once
    Then two policies are acknowledged as one generation

  Scenario: an older generation that arrives late changes nothing
    Given a routing node that has generation 5 in force
    When generation 4 arrives late
    Then generation 5 is in force

  Scenario: the judge can fail: a routing node that takes whatever comes last
    Given a fleet that breaks a rule: "take_older"
    And a routing node that has generation 5 in force
    When generation 4 arrives late
    Then generation 4 is in force

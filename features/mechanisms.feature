Feature: Each admission mechanism can be switched off by the policy, and then has no effect

  Scenario Outline: the replica that is chosen, with <mechanism> on and off
    Given three replicas of a listed pool, "a" near, "b" and "c" in another zone, and <case>
    Then with "<mechanism>" on 40 tasks would go to "<on>", and off to "<off>"

    Examples:
      | mechanism     | on  | off   | case                                                             |
      | predicted_end | a   | c     | one task of this node on "a" and one on "b", and 6 of other nodes on "b" and on "c" |
      | prompt_memory | c   | a     | a prompt that only "c" has cached                                |
      | told_load     | b,c | a     | a report that "a" runs 5 and has none waiting                    |
      | set_aside     | b,c | a     | a failure of "a"                                                 |
      | zones         | a   | a,b,c | nothing else                                                     |
      | warmth        | b,c | a     | "a" just started                                                 |

  Scenario Outline: the order of what waits, with newest_first <switch>
    Given more pending work of one class than its deadline leaves time for, with "newest_first" <switch>
    Then the <which> of two that could still be served goes first

    Examples:
      | switch | which  |
      | on     | newest |
      | off    | oldest |

  Scenario Outline: how long an answer is waited for, with patience <switch>
    Given a gateway that expects an answer after 100 ms and has 3000 ms, with "patience" <switch>
    Then it tries another replica after <wait> ms

    Examples:
      | switch | wait |
      | on     | 400  |
      | off    | 3000 |

  Scenario: every mechanism may be switched off by name
    Then a policy that switches off any one mechanism has no finding

  Scenario Outline: a policy with <value> for a mechanism is told what is wrong
    Given a policy whose mechanisms are <value>
    Then its one finding is "<finding>"

    Examples:
      | value            | finding                                       |
      | {"zones": 1}     | mechanisms.zones must be a bool               |
      | {"zone": false}  | mechanisms.zone is not a known field          |

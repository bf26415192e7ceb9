Feature: What replicas are handed, where a rule of the wire has its own trouble

  Scenario Outline: no replica is handed more time than its caller has left: <path> after "<acts>"
    Given 1 node and the replicas "a b c"
    And the replicas will in turn "<acts>"
    When "<path>" is asked with 3000 ms, and each replica notes its time
    Then <runs> replicas were asked, and each was handed no more than was left

    Examples:
      | path    | acts                    | runs |
      | /any/x  | status 500, answer      | 2    |
      | /any/x  | silent, answer          | 2    |
      | /any/x  | full, full, answer      | 3    |
      | /once/x | full, answer            | 2    |
      | /line/x | break 2, stream 5       | 2    |
      | /line/x | full, break 2, stream 5 | 3    |

  Scenario Outline: a replica that answers before it has read a body of <size> bytes gets the rest of it, and nothing in its place
    Given a replica that answers <when> and reads on later
    When a body of <size> bytes is sent to it, and then another request
    Then each of its connections has carried whole requests, one after the other, or ended inside one

    Examples:
      | when                      | size     |
      | after the head            | 1000     |
      | after the head            | 12000000 |
      | after a part of the body  | 12000000 |

Feature: What replicas receive: deadlines, and bytes on reused connections

  Scenario Outline: no replica gets more time than its caller has left: <path> after "<acts>"
    Given 1 node and the replicas "a b c"
    And the replicas will in turn "<acts>"
    When "<path>" is requested with 3000 ms, and each replica records its deadline
    Then <runs> replicas got the request, and none got more time than was left

    Examples:
      | path    | acts                    | runs |
      | /any/x  | status 500, answer      | 2    |
      | /any/x  | silent, answer          | 2    |
      | /any/x  | full, full, answer      | 3    |
      | /once/x | full, answer            | 2    |
      | /line/x | break 2, stream 5       | 2    |
      | /line/x | full, break 2, stream 5 | 3    |

  Scenario Outline: a replica that answers before it has read a body of <size> bytes gets the rest of it, and no other bytes instead
    Given a replica that answers <when> and reads the rest later
    When a body of <size> bytes is sent to it, and then another request
    Then each of its connections has carried complete requests, one after the other, or ended inside one

    Examples:
      | when                      | size     |
      | after the head            | 1000     |
      | after the head            | 12000000 |
      | after a part of the body  | 12000000 |

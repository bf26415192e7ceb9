@processes @together
Feature: The HTTP APIs for callers and operators, served by real processes

  Background:
    Given a small fleet of real processes

  Scenario: a request needs only a route and a prompt
    When a turn is requested with only a route and a prompt
    Then the response is complete, with the id, the pieces and the usage

  Scenario: a stream has numbered pieces and one explicit end
    When a streamed turn is requested
    Then its pieces are numbered from 0 without gaps and the last line is the end with totals

  Scenario Outline: bad input is answered <status> <code> with its findings
    When "<method>" "<path>" is sent with body <body>
    Then the answer is <status> "<code>" as a problem document that names "<place>"

    Examples:
      | method | path                    | body                                                                   | status | code       | place                                   |
      | POST   | /v1/turns               | {"route":                                                              | 400    | bad_json   |                                         |
      | POST   | /v1/turns               | {"route": "quick-quote", "prompt": "a \ud83d"}                        | 400    | bad_json   |                                         |
      | POST   | /v1/turns               | {"route": "quick-quote", "messages": [{"content": "a", "x": 1e999}]}   | 400    | bad_json   |                                         |
      | POST   | /v1/turns               | [1]                                                                    | 422    | invalid    |                                         |
      | POST   | /v1/turns               | {"prompt": 5, "max_tokens": -1, "prompt_tokens": "x", "deadline_ms": 0, "colour": 1} | 422 | invalid | colour route prompt prompt_tokens max_tokens deadline_ms |
      | POST   | /v1/turns               | {"route": "no-such", "prompt": "a"}                                    | 404    | no_route   | route                                   |
      | POST   | /v1/turns               | {"route": "quick-quote", "class": "talks", "prompt": "a"}              | 422    | invalid    | class                                   |
      | POST   | /v1/turns               | {"route": "quick-quote", "prompt": "a", "continues": "nonsense"}       | 404    | turn_unknown |                                       |
      | POST   | /v1/turns               | {"route": "quick-quote", "prompt": "a", "continues": "p~zzzzzzzz~1~r~x"} | 404  | turn_unknown |                                       |
      | POST   | /v1/turns               | {"route": "quick-quote", "prompt": "a", "continues": "p~k0000000~1~r~x"} | 410  | turn_expired |                                       |
      | POST   | /v1/turns               | {"route": "quick-quote", "prompt": "a", "program": "q", "continues": "p~k0000000~1~r~x"} | 422 | invalid | continues                 |
      | GET    | /v1/turns               | -                                                                      | 405    | wrong_method |                                       |
      | GET    | /nowhere                | -                                                                      | 404    | not_found  |                                         |
      | POST   | /v1/services/none/x     | {}                                                                     | 404    | no_service |                                         |
      | POST   | /v1/services/desk/other | {}                                                                     | 404    | no_service |                                         |

  Scenario: a body over the limit is refused before it is read
    When a body of 3 MB is sent
    Then the answer is 413 "too_big" as a problem document that names ""

  Scenario: an invalid deadline is a finding
    When a service call is sent with the deadline "soon"
    Then the answer is 422 "invalid" as a problem document that names "X-Deadline-Ms"
    When a service call is sent with a deadline of 5000 digits
    Then the answer is 422 "invalid" as a problem document that names "X-Deadline-Ms"

  Scenario: a conversation continues from another routing node, and a budget ends it
    When a program with a budget of 20 tokens takes turns of 12
    Then the second continues the first through another routing node with its complete history
    And the third is answered 429 "budget" and runs on no replica

  Scenario: keyed work that may not repeat runs once
    When a document is requested twice with one idempotency key
    Then both responses are the same, the second is marked as replayed, and it ran once
    When the same key is sent with another body
    Then the answer is 422 "key_reused" as a problem document that names ""

  Scenario: a lost response is an unknown outcome and never causes a second run
    Given application replicas that lose their responses
    When a document is requested with an idempotency key
    Then the answer is 502 "outcome_unknown" as a problem document that names ""
    When it is requested again with the same key
    Then the answer is 409 "once_running" as a problem document that names ""
    And it ran once

  Scenario: a caller that disconnects ends its turn at the replica
    Given model replicas that stall
    When a caller disconnects in the middle of a turn
    Then the replica aborts the turn

  Scenario: operators race, repeat themselves and make mistakes
    When two operators change the policy from the same generation
    Then one is answered 200 and the other 409 "conflict"
    And an invalid policy is answered 422 with every finding and changes nothing
    And a policy with a text that is cut inside a character is answered 400 "bad_json" and changes nothing
    And a policy whose If-Match is no number, or 5000 digits long, is answered 400 "bad_header"
    And a repeated request id gives the same generation
    And marking an unknown replica as leaving is 404 "unknown_name", retiring an unknown store 404 "unknown_name"
    And retiring a store where too few would be left is 409 "refused"
    And swapping an unknown core is 404 "unknown_name", swapping in an unknown spare core 409 "refused"

  Scenario: rules take away, are checked, and fail closed
    When rules are put in force that refuse long quotes and divide by the deadline of documents minus 2500
    Then a short quote is answered, and a long one is 403 "ruled_out" by "long-quotes"
    And a document with a deadline of 2500 ms is 403 "ruled_out" and did not run, one with another is answered
    And a rule with an unknown name is 422 "invalid" at "rules.odd.when", and nothing changes

  Scenario: a stop signal drains a routing node
    When a routing node gets SIGTERM while a stream runs
    Then the stream ends complete and the process exits with code 0

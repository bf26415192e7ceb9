Feature: What the HTTP clients read is bounded where it is read

  A server sends bytes without end on one connection and counts them until its client closes it. These scenarios also hold
  the version of tornado to what is relied on: bounded heads, chunk sizes, interim answers and bodies, read piece by piece.

  # Guards against a process that keeps whatever a faulty back end sends, and against a library that does.
  Scenario Outline: the client of replicas breaks off "<kind>"
    Given a server that sends "<kind>" without end
    When the client of replicas asks it, and takes all that comes
    Then the exchange ends with "lost" within 10 s
    And the server has sent less than 16 MB

    Examples:
      | kind                            |
      | event in one line               |
      | event until the connection ends |
      | body in chunks                  |
      | body until the connection ends  |
      | body with a length of 60 MB     |
      | surplus answers                 |
      | noise                           |
      | header line                     |
      | header lines                    |
      | interim answers                 |
      | impossible length               |
      | impossible chunk                |
      | chunk extension                 |

  Scenario Outline: the client of JSON servers breaks off "<kind>", read as <form>
    Given a server that sends "<kind>" without end
    When the client of JSON servers asks it, and takes all that comes as <form>
    Then the exchange ends with "lost" within 10 s
    And the server has sent less than 16 MB
    And the client holds nothing after that

    Examples:
      | kind                           | form  |
      | body in chunks                 | bytes |
      | body until the connection ends | bytes |
      | body with a length of 60 MB    | bytes |
      | body in chunks                 | lines |
      | lines                          | lines |
      | noise                          | lines |
      | header line                    | lines |
      | header lines                   | lines |
      | interim answers                | lines |

  # Guards against a memory that grows with what a slow caller has not taken yet.
  Scenario: the client of JSON servers holds no more than its budget of what nobody takes
    Given a server that sends "body in chunks" without end
    And a budget of 2 MB for what is read
    When the client of JSON servers asks it, and nobody takes what comes
    Then the exchange ends with "lost" within 10 s

  # Guards against a library whose older versions read a body that ends with the connection whole.
  Scenario: both lists of what is installed ask for a tornado that bounds what it reads
    Then pyproject.toml and deploy/requirements.txt allow no tornado before 6.6, and 6.6 or newer is installed

  # Guards against a process that is killed for its memory by the bodies that its JSON interface reads.
  Scenario: the JSON interface refuses bodies that there is no room for, and has room again after them
    Given a JSON interface with 2 MB for bodies, whose handler takes 0.5 s
    When 8 callers at once send it bodies of 1000 KB
    Then each is answered 200 or 503 with Retry-After, and 2 of them 200
    And it holds nothing after that

  # Guards against a request that counts as neither answered nor cut, since its caller left while it was written.
  Scenario Outline: a caller that has left is known as soon as writing <what> fails
    Given a request whose connection breaks before anything is written
    When <what> is written to it
    Then its caller is known to have left, and it is no violation that it has no answer

    Examples:
      | what           |
      | a head         |
      | an event       |
      | a whole answer |

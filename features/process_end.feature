Feature: A process ends when it is told to, with code 0, and for no other reason

  Real processes, started as the deploy file says.

  # Guards against an end by a signal that comes when the event loop is closed or the interpreter shuts down.
  Scenario Outline: <signal>, sent over and over while <machine> stops, does not end it
    Given a deployment of one core, one store and one routing node
    And <machine> serves
    When it gets SIGTERM, and then <signal> until it has ended
    Then its exit code is 0

    Examples:
      | machine   | signal  |
      | core-1    | SIGHUP  |
      | core-1    | SIGTERM |
      | core-1    | SIGINT  |
      | storage-1 | SIGHUP  |
      | storage-1 | SIGTERM |
      | storage-1 | SIGINT  |
      | edge-1    | SIGHUP  |
      | edge-1    | SIGTERM |
      | edge-1    | SIGINT  |

  # Guards against an end by a stop signal that comes before the event loop handles it.
  Scenario Outline: <signal> while <machine> starts ends it in order
    Given a deployment of one core, one store and one routing node
    When <machine> is started, and gets <signal> as soon as it handles or ignores SIGHUP
    Then its exit code is 0

    Examples:
      | machine   | signal  |
      | core-1    | SIGTERM |
      | storage-1 | SIGTERM |
      | edge-1    | SIGTERM |
      | edge-1    | SIGINT  |

  # Guards against a failed start, a false exit code or a process that hangs because its log cannot be written.
  Scenario Outline: <machine> serves and stops though its standard error is <state>
    Given a deployment of one core, one store and one routing node
    When <machine> is started with a standard error that is <state>
    Then it still serves after many log lines
    And it ends with code 0 on SIGTERM

    Examples:
      | machine   | state                         |
      | core-1    | closed                        |
      | core-1    | closed like input and output  |
      | core-1    | a full device                 |
      | core-1    | a pipe without a reader       |
      | core-1    | a pipe that nobody reads      |
      | storage-1 | closed                        |
      | storage-1 | closed like input and output  |
      | storage-1 | a full device                 |
      | storage-1 | a pipe without a reader       |
      | storage-1 | a pipe that nobody reads      |
      | edge-1    | closed                        |
      | edge-1    | closed like input and output  |
      | edge-1    | a full device                 |
      | edge-1    | a pipe without a reader       |
      | edge-1    | a pipe that nobody reads      |

  # Guards against a process that spins, and fills its log, while clients hold all of its descriptors.
  Scenario Outline: <machine> stays idle while clients hold all descriptors it may have, and serves after them
    Given a deployment of one core, one store and one routing node
    When <machine> may have 100 descriptors, and clients open 150 connections to its <port> address for 3 s
    Then it used less than half of a core meanwhile, and logged less than 20 KB
    And it serves its <port> address after that
    And it ends with code 0 on SIGTERM

    Examples:
      | machine   | port     |
      | core-1    | control  |
      | core-1    | internal |
      | storage-1 | internal |
      | edge-1    | control  |

Feature: A deployment starts, whatever its processes meet in their first seconds

  Real processes, started as the deploy file says. One that is started again gets `bootstrap=false`.

  # Guards against a system that never starts because a seed was killed before the fleet was formed.
  @processes
  Scenario Outline: a fleet is formed though <machines> is killed <delay> s after its first start
    Given a deployment of three cores and three stores
    When it is started, and <machines> is killed after <delay> s and started again
    Then a configuration is acknowledged
    And all its cores, as they run now, become the voters

    Examples:
      | machines             | delay |
      | core-1               | 0.05  |
      | core-1               | 0.3   |
      | core-1               | 0.8   |
      | core-1,core-2        | 0.05  |
      | core-2,core-3        | 0.3   |
      | core-1,core-2,core-3 | 0.8   |

  # Guards against a system that never starts because all seeds were killed before their databases held a row.
  @processes
  Scenario: a fleet is formed though all cores are killed as they first write to their data folders
    Given a deployment of three cores and three stores
    When it is started, and each core is killed as its data folder gets its first file, and started again
    Then a configuration is acknowledged
    And all its cores, as they run now, become the voters
    And no core keeps a record of its first start beside its database

  # Guards against a system that never starts because one of its seeds is gone for good.
  @processes
  Scenario Outline: a fleet is formed though <machine> is gone for good before it has started
    Given a deployment of three cores and three stores
    When it is started, and <machine> is killed after 0.05 s for good
    Then a configuration is acknowledged

    Examples:
      | machine |
      | core-1  |
      | core-3  |

  # Guards against a process that ends because its address is still held, by a forerunner that stops or by a client.
  Scenario Outline: <machine> waits for its <port> address
    Given a deployment of one core, one store and one routing node
    When <machine> is started while its <port> address is held for 3 s
    Then it runs and serves that address once it is free
    And it ends with code 0 on SIGTERM

    Examples:
      | machine   | port      |
      | core-1    | internal  |
      | core-1    | control   |
      | storage-1 | internal  |
      | edge-1    | internal  |
      | edge-1    | control   |
      | edge-1    | readiness |

  # Guards against a process that ends because its forerunner, which is told to stop, still has the data folder.
  Scenario Outline: <machine> waits for its data folder
    Given a deployment of one core, one store and one routing node
    When <machine> is started while its data folder is locked for 3 s
    Then it runs and serves its internal address once the folder is free
    And it ends with code 0 on SIGTERM

    Examples:
      | machine   |
      | core-1    |
      | storage-1 |

  # Guards against a process that ends because its settings file is replaced just as it reads it.
  Scenario Outline: <machine> waits for a settings file that is <state>
    Given a deployment of one core, one store and one routing node
    When <machine> is started while its settings file is <state> for 1 s
    Then it runs and serves its internal address
    And it ends with code 0 on SIGTERM

    Examples:
      | machine   | state   |
      | core-1    | missing |
      | storage-1 | empty   |
      | edge-1    | cut     |

  # Guards against a stop that hangs or fails while a process waits for what it cannot have yet.
  Scenario Outline: SIGTERM ends a process that waits for its <what>
    Given a deployment of one core, one store and one routing node
    When core-1 is started while its <what> is not to be had
    And it gets SIGTERM
    Then it ends with code 0 within 3 s

    Examples:
      | what             |
      | settings file    |
      | data folder      |
      | internal address |

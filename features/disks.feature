Feature: Disks that accept no writes, and corrupt files

  Scenario: writes to a full disk wait, in order, until there is room
    Given a data folder with one synced row
    When its database may not grow and three batches are written, the first one too large
    Then none of them completes within 1 second
    When its database may grow again
    Then they complete in the order in which they were issued, and a restart finds all of their rows

  Scenario: after a failed sync the whole batch is written again
    Given a data folder with one synced row
    When the next 2 commits fail as after a failed sync, and a batch of 3 rows is written
    Then its 3 rows were written 3 times, and a restart finds all of them

  # Guards against a writer that ends in silence, after which the process is blocked for ever.
  Scenario: once a batch can never be written, no later one is
    Given a data folder with one synced row
    When a batch that cannot be encoded is written between two others
    Then the batches fail from that one on, and a restart finds the rows before it

  Scenario Outline: a process that cannot go on ends, instead of waiting for ever: <cause>
    Given a control-plane process with a data folder
    When <cause>
    Then the process ends with the error

    Examples:
      | cause                             |
      | it writes a row that cannot be encoded |
      | one of its tasks fails            |

  Scenario: a start on a full disk waits for room
    Given a data folder with one synced row
    When it is opened while its disk has no room for the first 3 attempts
    Then it opens at the fourth attempt and its row is there

  Scenario: a torn file is set aside once, and its folder starts empty
    Given a data folder with a torn file
    Then opening it fails as corrupt, and after the file is set aside it opens empty and reports that

  Scenario: a power failure between the two renames of a file that is set aside
    Given a data folder whose log holds a row and whose database was already renamed
    Then it opens empty

  Scenario Outline: a blocked <role> queues a bounded number of writes, refuses requests, and serves again after the stall
    Given the deployment "cartalume" in the simulator with seed <seed>
    When the disk of a <role> stalls for 20 seconds while it is sent 50 requests a second
    Then it answered "<role>_away" from 1.5 seconds on until the stall ended, with at most 200 writes queued
    And after the stall it has written all of them and serves within 5 seconds

    Examples:
      | role  | seed |
      | core  | 61   |
      | store | 62   |

  Scenario Outline: a <role> with a torn file rejoins as a new member
    Given the deployment "cartalume" in the simulator with seed <seed>
    When the file of a <role> is torn and its process restarts
    Then the same process runs under a new name and is a member within 12 seconds
    And the change acknowledged before is read

    Examples:
      | role  | seed |
      | core  | 63   |
      | store | 64   |

  Scenario: three cores with torn files form no second fleet
    Given the deployment "cartalume" in the simulator with seed 65
    When the files of all cores are torn and their processes restart
    Then after 15 seconds none of them has a fleet

  Scenario Outline: <changes> changes while a core and a store are down, at <deploy>
    Given the deployment "<deploy>" in the simulator with seed <seed>
    When a core and a store are down during <changes> changes and restart while changes continue
    Then they are full members within 4 seconds of their restart
    And when the core's primary is then lost, the new primary shows the change acknowledged last

    Examples:
      | deploy     | changes | seed |
      | cartalume  | 300     | 66   |
      | hipotecalc | 300     | 67   |
      | cartalume  | 3000    | 68   |

  Scenario: an update that reaches a blocked store while an older one waits for its disk
    Given a store with generation 4 on disk, whose disk accepts no writes while it writes generation 5
    When the reply to its last poll brings generation 6, and one of an outdated core generation 5
    And its disk accepts the waiting writes, one after another
    Then it reports generations 5 and 6 in this order, each once it is on disk, and no other after that

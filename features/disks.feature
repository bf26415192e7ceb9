Feature: A disk that takes nothing, and a file that is torn

  Scenario: what a full disk does not take waits, in order, until there is room
    Given a data folder with one synced row
    When its database may not grow and three batches are written, the first one too large
    Then none of them is done within 1 second
    When its database may grow again
    Then they are done in the order in which they came, and a new start finds all of it

  Scenario: after a failed sync the whole batch is written again
    Given a data folder with one synced row
    When the next 2 commits fail as a failed sync does, and a batch of 3 rows is written
    Then its 3 rows were written 3 times, and a new start finds all of it

  Scenario: a start on a full disk waits for room
    Given a data folder with one synced row
    When it is opened while its disk has no room for the next 3 tries
    Then it opens at the fourth and finds its row

  Scenario: a torn file is set aside once, and its folder begins empty
    Given a data folder with a torn file
    Then opening it finds it corrupt, and after it is set aside it opens empty and knows of it

  Scenario: a loss of power between the two names of a file that is set aside
    Given a data folder whose log holds a row and whose database was already renamed
    Then it opens empty

  Scenario Outline: a blocked <role> holds a bounded number of writes, says that it cannot confirm, and serves again
    Given the deployment "cartalume" in the simulator with seed <seed>
    When the disk of a <role> stalls for 20 seconds while it is asked 50 times a second
    Then it answered "<role>_away" within 1.5 seconds and to the end, and at most 200 writes waited
    And after the stall it has written all of them and serves within 5 seconds

    Examples:
      | role  | seed |
      | core  | 61   |
      | store | 62   |

  Scenario Outline: a <role> with a torn file comes back as a new member
    Given the deployment "cartalume" in the simulator with seed <seed>
    When the file of a <role> is torn and its process starts again
    Then it lives in one process under a new name and is a member within 12 seconds
    And what was acknowledged before is shown

    Examples:
      | role  | seed |
      | core  | 63   |
      | store | 64   |

  Scenario: three cores with torn files found no other fleet
    Given the deployment "cartalume" in the simulator with seed 65
    When the files of all cores are torn and their processes start again
    Then after 15 seconds none of them has a fleet

  Scenario Outline: <changes> changes while a core and a store are away, at <deploy>
    Given the deployment "<deploy>" in the simulator with seed <seed>
    When a core and a store are away during <changes> changes and come back while changes go on
    Then they are full members within 4 seconds of their return
    And when the core's primary is lost then, the one that leads shows what was acknowledged last

    Examples:
      | deploy     | changes | seed |
      | cartalume  | 300     | 66   |
      | hipotecalc | 300     | 67   |
      | cartalume  | 3000    | 68   |

  Scenario: news that comes to a blocked store while older news waits for its disk
    Given a store with generation 4 on disk, whose disk takes nothing while it writes generation 5
    When the answer to its last word brings generation 6, and an older core's brings generation 5
    And its disk takes what waits, one write after another
    Then it says generations 5 and 6 in this order, each once it is on disk, and none after that

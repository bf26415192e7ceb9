@processes
Feature: Real processes survive real signals

  Limits are generous and only rules are asserted, never times.

  Scenario: a core and a store lose their machines and disks, and come back empty
    Given the deployment "cartalume" as a running fleet
    When the core's primary and a store are killed and their folders lost, and both come back under traffic
    Then no rule is broken by the fleet
    And doctor finds nothing broken within a minute
    And what was kept before can be continued

  Scenario: frozen processes wake and do no harm
    Given the deployment "hipotecalc" as a running fleet
    When the core's primary, a store and a routing node are frozen in turn under traffic and woken
    Then no rule is broken by the fleet
    And doctor finds nothing broken within a minute
    And what was kept before can be continued

  Scenario: every process is killed at once and started from its folder
    Given the deployment "cartalume" as a running fleet
    When all is killed at once after some traffic, and started again
    Then no rule is broken by the fleet
    And the policy that was acknowledged is in force
    And what was kept before can be continued

  Scenario: links between real processes are cut and healed
    Given the deployment "cartalume" as a running fleet with links that can be cut
    When the core's primary is cut from the other cores and a store from another under traffic, then all is healed
    Then another core is primary
    And no rule is broken by the fleet
    And doctor finds nothing broken within a minute
    And what was kept before can be continued

  Scenario: the whole core stands still and the fleet serves on
    Given the deployment "cartalume" as a running fleet
    When all cores are frozen under traffic, a routing node is started again meanwhile, and the cores wake
    Then every routing node answered well while no core could
    And no rule is broken by the fleet
    And doctor finds nothing broken within a minute
    And what was kept before can be continued

  Scenario: started again with the files of the first day
    Given the deployment "hipotecalc" as a running fleet
    When every core machine is swapped under traffic, one by one
    And a routing node and a store are started again with their first files, and then everything is
    Then no rule is broken by the fleet
    And doctor finds nothing broken within a minute
    And what was kept before can be continued

  Scenario: a store whose files may not grow runs on without confirming, and serves again when they may
    Given the deployment "cartalume" as a running fleet
    When a store's files may not grow under traffic
    Then its process runs on, and the last that it says of its disk is "disk_blocked"
    When its files may grow again
    Then the last that it says of its disk is "disk_serves", in the process that it was
    And no rule is broken by the fleet
    And doctor finds nothing broken within a minute
    And what was kept before can be continued

  Scenario: operators at work through losses
    Given the deployment "hipotecalc" as a running fleet
    When operators change the policy while a core, a store and a replica are lost in turn under traffic
    Then the leaving replica got nothing new, and operators had their answers
    And no rule is broken by the fleet
    And doctor finds nothing broken within a minute
    And what was kept before can be continued

@processes
Feature: Real processes survive real signals

  Time limits are generous; the steps check invariants, never durations.

  Scenario: a core and a store lose their machines and disks, and come back empty
    Given the deployment "cartalume" as a running fleet
    When the core's primary and a store are killed and lose their data folders, and both start again under traffic
    Then no invariant is violated by the fleet
    And doctor finds nothing broken within a minute
    And the turns that were retained before can be continued

  Scenario: processes that are stopped by SIGSTOP and resumed violate no invariant
    Given the deployment "hipotecalc" as a running fleet
    When the core's primary, a store and a routing node are stopped by SIGSTOP in turn under traffic and resumed
    Then no invariant is violated by the fleet
    And doctor finds nothing broken within a minute
    And the turns that were retained before can be continued

  Scenario: every process is killed at once and started from its folder
    Given the deployment "cartalume" as a running fleet
    When all processes are killed at once after some traffic, and started again
    Then no invariant is violated by the fleet
    And the policy that was acknowledged is in force
    And the turns that were retained before can be continued

  Scenario: links between real processes are cut and healed
    Given the deployment "cartalume" as a running fleet with links that can be cut
    When the core's primary is cut off from the other cores and a store from another under traffic, then the links are healed
    Then another core is primary
    And no invariant is violated by the fleet
    And doctor finds nothing broken within a minute
    And the turns that were retained before can be continued

  Scenario: all cores are stopped by SIGSTOP and the routing nodes keep serving
    Given the deployment "cartalume" as a running fleet
    When all cores are stopped by SIGSTOP under traffic, a routing node is restarted meanwhile, and the cores are resumed
    Then every routing node answered with status 200 while all cores were stopped
    And no invariant is violated by the fleet
    And doctor finds nothing broken within a minute
    And the turns that were retained before can be continued

  Scenario: started again with the files of the first day
    Given the deployment "hipotecalc" as a running fleet
    When every core machine is swapped under traffic, one by one
    And a routing node and a store are restarted with their first settings files, and then all processes are
    Then no invariant is violated by the fleet
    And doctor finds nothing broken within a minute
    And the turns that were retained before can be continued

  Scenario: a store whose files may not grow runs on without confirming, and serves again when they may
    Given the deployment "cartalume" as a running fleet
    When a store's files may not grow under traffic
    Then its process runs on, and the last event about the disk in its journal is "disk_blocked"
    When its files may grow again
    Then the last event about the disk in its journal is "disk_serves", and its process is still the same
    And no invariant is violated by the fleet
    And doctor finds nothing broken within a minute
    And the turns that were retained before can be continued

  Scenario: operators change the policy while processes are lost
    Given the deployment "hipotecalc" as a running fleet
    When operators change the policy while a core, a store and a replica are lost in turn under traffic
    Then the leaving replica got no new request, and operators' requests were acknowledged
    And no invariant is violated by the fleet
    And doctor finds nothing broken within a minute
    And the turns that were retained before can be continued

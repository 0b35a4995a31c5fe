Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: concurrent publications and an invalid entry
    Given a platform with 2 workers and 2 runners for north and south, each with 1 entry and 1 scheduler
    When two operators publish racers on the same base
    Then one is accepted and the other is told of the conflict by name
    And a broken entry is refused and changes nothing

  Scenario: a restart during a log outage keeps the accepted configuration
    Given a platform with 2 workers and 2 runners for north and south, each with 1 entry and 2 schedulers
    And organisation acme guaranteed 2 in each data centre
    When the configuration is noted
    And the log goes down
    And all entries of north are killed and started again
    Then every entry has the same configuration as before

  Scenario: retention has dropped the records when a process restarts
    Given a platform with 2 workers and 2 runners for north, each with 2 entries and 1 scheduler
    And organisation acme guaranteed 2 in each data centre
    When 130 changes of configuration are published
    And the configuration is noted
    And retention drops the configuration's first records
    And all entries of north are killed and started again
    Then every entry has the same configuration as before

  Scenario: all processes restart after retention has left only a snapshot
    Given a platform with 2 workers and 2 runners for north, each with 2 entries and 1 scheduler
    And organisation acme guaranteed 2 in each data centre
    When 130 changes of configuration are published
    And the configuration is noted
    And 1 seconds pass
    And retention drops the configuration's records before the last snapshot
    And all processes are killed and started again
    Then every entry has the same configuration as before

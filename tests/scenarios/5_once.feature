Feature: Non-idempotent work runs at most once

  Scenario: an entry and the acting scheduler are killed while jobs run
    Given a platform with 4 workers and 4 runners for north and south, each with 2 entries and 2 schedulers
    And organisation acme guaranteed 8 in each data centre
    When acme submits 10 proof jobs of 1500 ms
    And 0.7 seconds pass
    And entry 0 is killed
    And the acting scheduler of north is killed
    Then every answer is right within 60 s
    And nothing non-idempotent ran twice

  Scenario: a paused scheduler resumes with expired leases
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme guaranteed 8 in each data centre
    When acme submits 8 proof jobs of 3000 ms
    And 1 seconds pass
    And the acting scheduler of north is paused for 9 s
    And 1 seconds pass
    And acme submits 4 proof jobs of 1000 ms
    Then every answer is right within 60 s
    And nothing non-idempotent ran twice

  Scenario: the log takes records but its answers are lost
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme guaranteed 8 in each data centre
    When the log takes appends but its answers are lost
    And acme submits 3 proof jobs of 500 ms
    And 3 seconds pass
    And the log's answers arrive again
    Then every answer is right within 60 s
    And nothing non-idempotent ran twice

  Scenario: all schedulers restart at once
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme guaranteed 8 in each data centre
    When acme submits 6 proof jobs of 2500 ms
    And acme submits 3 sweep jobs of 2500 ms
    And 1 seconds pass
    And all schedulers are killed and started again
    Then every answer is right within 60 s
    And nothing non-idempotent ran twice

  Scenario: two schedulers that are cut off from each other act at once
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme guaranteed 8, 8 in each data centre
    When the schedulers of north are cut off from each other
    And 6 seconds pass
    And acme submits 12 proof jobs of 700 ms
    And 8 seconds pass
    And north is joined again
    Then every answer is right within 60 s
    And nothing non-idempotent ran twice

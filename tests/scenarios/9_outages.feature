Feature: Work continues during outages

  Scenario: an isolated data centre still answers its callers
    Given a platform with 4 workers and 4 runners for north and south, each with 1 entry and 2 schedulers
    And organisation acme with no guarantee
    When north is cut off from the platform
    And north is cut off from the other data centres
    And 5 seconds pass
    And acme submits 6 check jobs of 60 ms at entry 0
    And acme submits 4 sweep jobs of 300 ms at entry 0
    Then every answer is right within 40 s

  Scenario: retries stay within the budget while half of the runners are frozen
    Given a platform with 2 workers and 4 runners for north, each with 2 entries and 1 scheduler
    And organisation acme with no guarantee
    When acme submits 20 check jobs of 50 ms
    And 2 seconds pass
    And runners 0, 1 freeze
    And acme keeps submitting check jobs of 50 ms, 20 a second
    And 10 seconds pass
    And the submitting ends
    Then every caller has an outcome within 60 s
    And retries added at most 10 % to the load
    And at least 95 % of the answers are right

  Scenario: a worker that fails every task is excluded
    Given a platform with 3 workers and 2 runners for north, each with 1 entry and 1 scheduler
    And organisation acme with no guarantee
    When worker 1 fails everything
    And acme submits 20 sweep jobs of 300 ms
    Then every answer is right within 60 s

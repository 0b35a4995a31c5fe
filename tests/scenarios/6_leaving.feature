Feature: A host that is leaving gets no new work

  Scenario: a leaving worker is listed as live again
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme with no guarantee
    When acme keeps submitting sweep jobs of 300 ms, 4 a second
    And 2 seconds pass
    And worker 0 is listed as leaving
    And 8 seconds pass
    And worker 0 is listed as live
    And 4 seconds pass
    And the submitting ends
    Then nothing started on worker 0 later than 0 s after
    And every answer is right within 30 s

  Scenario: work continues on other workers
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme with no guarantee
    When acme keeps submitting sweep jobs of 300 ms, 4 a second
    And 2 seconds pass
    And worker 0 is listed as leaving
    And 9 seconds pass
    And the submitting ends
    Then nothing started on worker 0 later than 5 s after
    And tasks started elsewhere than on worker 0 meanwhile
    And every answer is right within 30 s

Feature: No part of a gang runs without the rest

  Scenario: a gang with an unreachable member stops as a whole and runs again
    Given a platform with 4 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme with no guarantee
    When acme submits 1 gang job of 6000 ms
    Then 3 members run within 10 s
    When worker 0 is cut
    And 8 seconds pass
    And worker 0 is reachable again
    Then every answer is right within 60 s
    And no part of a gang ran alone for more than one lease

  Scenario: lost answers of one worker leave no partial gang
    Given a platform with 4 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme with no guarantee
    When worker 1 swallows answers
    And acme submits 2 gang jobs of 1000 ms
    And 6 seconds pass
    And worker 1 is reachable again
    Then every answer is right within 60 s
    And no part of a gang ran alone for more than one lease

  Scenario: a killed scheduler leaves no partial gang
    Given a platform with 4 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme with no guarantee
    When acme submits 4 gang jobs of 3000 ms
    And 0.3 seconds pass
    And the acting scheduler of north is killed
    Then every answer is right within 60 s
    And no part of a gang ran alone for more than one lease

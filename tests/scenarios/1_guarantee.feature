Feature: A guaranteed shape can always be reclaimed

  Scenario: owners get their shape back from borrowers that fill everything
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation owner guaranteed 8 in each data centre
    And organisation borrower with no guarantee
    When borrower submits 8 sweep jobs of 40000 ms
    Then 8 members run within 10 s
    When what has started is noted
    And owner submits 1 plan job of 500 ms
    Then owner's plan started within 6.1 s
    And no more than 4 tasks were stopped

  Scenario: a shape is reclaimed although a borrower's worker is cut off
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation owner guaranteed 8 in each data centre
    And organisation borrower with no guarantee
    When borrower submits 8 sweep jobs of 40000 ms
    Then 8 members run within 10 s
    When what has started is noted
    And worker 0 is cut
    And owner submits 1 plan job of 500 ms
    Then owner's plan started within 10.1 s

Feature: Every caller gets the whole answer to its own request

  Scenario: answers of several megabytes arrive whole despite a broken connection
    Given a platform with 2 workers and 2 runners for north, each with 2 entries and 1 scheduler
    And organisation acme with no guarantee
    When acme submits 2 mockup jobs of 200 ms and 60000 rows
    And 0.5 seconds pass
    And answers from worker 0 are cut after 400000 bytes, once
    And answers from worker 1 are cut after 400000 bytes, once
    Then every answer is right within 60 s

  Scenario: two callers with one key get one run and the same whole answer
    Given a platform with 4 workers and 4 runners for north and south, each with 1 entry and 1 scheduler
    And organisation acme guaranteed 8 in each data centre
    When two callers submit the same proof job of acme at two entries
    Then every answer is right within 30 s
    And nothing non-idempotent ran twice

  Scenario: many callers at once each get their own answer over silent connections
    Given a platform with 2 workers and 4 runners for north, each with 2 entries and 1 scheduler
    And organisation acme with no guarantee
    When acme submits 40 check jobs of 60 ms
    And runners 0, 1 lose their open connections
    And acme submits 40 check jobs of 60 ms
    Then every answer is right within 30 s

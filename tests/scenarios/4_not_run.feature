Feature: Work that is reported as not run did not run

  Scenario: many jobs are cancelled at once
    Given a platform with 1 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme guaranteed 8 in each data centre
    When acme submits 12 proof jobs of 3000 ms
    And 1.5 seconds pass
    And the acme jobs are cancelled
    Then every caller has an outcome within 40 s
    And each outcome is one of OK, CANCELLED, STOPPED
    And what is called not run did not run

  Scenario: a job that can never run is rejected at once
    Given a platform with 1 workers and 2 runners for north, each with 1 entry and 1 scheduler
    And organisation acme with no guarantee
    When acme submits 1 gang job of 100 ms
    Then every caller has an outcome within 10 s
    And each outcome is one of SHAPE_IMPOSSIBLE
    And what is called not run did not run

  Scenario: non-idempotent work refused while the log is down did not run
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 2 schedulers
    And organisation acme guaranteed 8 in each data centre
    When the log goes down
    And acme submits 3 proof jobs of 200 ms
    And acme submits 3 sweep jobs of 200 ms
    Then every caller has an outcome within 40 s
    And each outcome is one of OK, LOG_UNAVAILABLE
    And what is called not run did not run

  Scenario: bad input causes an error only for its caller
    Given a platform with 2 workers and 2 runners for north, each with 1 entry and 1 scheduler
    And organisation acme with no guarantee
    When acme submits the body "not,a,cart,at,all" to check
    And acme submits the body "x" to nothing
    And nobody submits the body "x" to check
    Then every caller has an outcome within 20 s
    And each outcome is one of FAILED, UNKNOWN_SERVICE, UNKNOWN_ORGANISATION

Feature: A planned stop interrupts no work

  Scenario: a rolling restart of every process under load
    Given a platform with 2 workers and 4 runners for north, each with 2 entries and 2 schedulers
    And organisation acme guaranteed 8 in each data centre
    When acme keeps submitting check jobs of 100 ms, 8 a second
    And acme submits 4 proof jobs of 4000 ms
    And every process is restarted in turn
    And acme submits 4 proof jobs of 500 ms
    And the submitting ends
    Then every answer is right within 40 s
    And nothing non-idempotent ran twice

Feature: The promises hold on the whole path, from the caller's socket to the server's

  Scenario: The same order at two running entries
    Given 2 running entries with seed 501 and a server that takes 20 ms
    When order "frame" is posted to running entry 1
    And all answers are there
    And order "frame" is posted to running entry 2
    And all answers are there
    Then answer 1 has status 200
    And answer 2 is the same as answer 1
    And the server ran order "frame" 1 time

  Scenario: The server reads an order and drops the connection
    Given 2 running entries with seed 502 and a server that takes 20 ms
    When the running server reads requests and drops them
    And order "payout" is posted to running entry 1
    And all answers are there
    And order "payout" is posted to running entry 2
    And all answers are there
    Then answer 1 says "unknown"
    And answer 2 says "unknown"
    And the server ran order "payout" 1 time

  Scenario: The store is down
    Given 2 running entries with seed 503 and a server that takes 20 ms
    When the running store is down
    And order "glazing" is posted to running entry 1
    And the catalogue is asked for at running entry 1
    And all answers are there
    Then answer 1 says "not-run"
    And the server ran order "glazing" 0 times
    And answer 2 has status 200

  Scenario: An entry leaves with orders in flight
    Given 2 running entries with seed 504 and a server that takes 1000 ms
    When order "slow" is posted to running entry 1
    And the server has begun 1 order
    And running entry 1 leaves
    And all answers are there
    Then answer 1 has status 200
    And it cut no call in flight

Feature: Gateways keep their promises while faults of all kinds overlap

  Links are delayed, reset, cut and silenced, gateways paused, stopped and
  killed, engines crash, the store misbehaves and configurations change, by a
  seed. Seeds that ever failed stay here.

  Scenario Outline: A soak of <seconds> seconds, seed <seed>
    When gateways are soaked with faults by seed <seed> for <seconds> seconds
    Then no promise was broken and all gateways serve again

    Examples:
      | seed | seconds |
      | 1    | 12      |
      | 2    | 12      |

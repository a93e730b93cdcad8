-- The declarations of the Caribbean Ramp Towage Association: six replicas of
-- dispatch-lm and three of ramp-app in three data centres in Kingston.
--   gypsumfoldctl check declarations.gf    without asking any node
--   gypsumfoldctl plan declarations.gf     what would change
--   gypsumfoldctl apply declarations.gf

-- Goodput weighs more than quiet engines, so a role change need not gain
-- much beyond its own cost.
-- The planner is off: through real processes it served less than static roles
-- so far (docs/MEASUREMENTS.md). The weight counts once it is on.
create service "dispatch" set protocol = "engine", planner = false,
  change_weight = 2.0;
create service "ramp" set protocol = "plain";

create model "dispatch-lm" set service = "dispatch";
create version "dispatch-lm@1" set model = "dispatch-lm", default = true;
create adapter "dispatch-lm:swaps" set model = "dispatch-lm";

-- Swaps and tug calls cannot wait; briefings may wait a little.
create kind "swap" set service = "dispatch", urgency = 0, deadline = 5s,
  repeatable = true;
create kind "briefing" set service = "dispatch", urgency = 3, deadline = 60s,
  repeatable = true, default = true;
-- The names of kinds of a plain service are the names of its calls. A second
-- tug must not roll, so a tug call runs at most once.
create kind "tug" set service = "ramp", urgency = 0, deadline = 3s;
create kind "roster" set service = "ramp", urgency = 1, deadline = 5s,
  repeatable = true;

create objective "swaps-on-time" set service = "dispatch", urgency = 0,
  target = 0.99, within = 1500ms;
create objective "briefings-on-time" set service = "dispatch", urgency = 3,
  target = 0.95, within = 10s;
create objective "ramp-on-time" set service = "ramp", urgency = 0,
  target = 0.99, within = 500ms;

-- Digests of the word "example" and the account's name: replace them.
create account "kingston-ground" set
  token_sha256 = "9687ec71f45e8d26ceac2d0d3557b057d73fd70c14507121a2e25bd51273f636",
  weight = 2.0, most_urgent = 0;
create account "island-air" set
  token_sha256 = "7734d1ae9f7c2d255c0509249f38b6c85d4c45a839d23bab79e72b005ba43d27",
  weight = 1.0, most_urgent = 0;

-- Say of each engine whether it refuses orders with an old fencing token; no
-- is assumed where nothing is said. Here, for the example, all do.
create endpoint "dispatch-lm-1" set service = "dispatch",
  address = "10.20.1.21:9000", data_centre = "north-apron", vm = "dispatch-lm-1",
  checks_tokens = true;
create endpoint "dispatch-lm-2" set service = "dispatch",
  address = "10.20.2.21:9000", data_centre = "cargo-ramp", vm = "dispatch-lm-2",
  checks_tokens = true;
create endpoint "dispatch-lm-3" set service = "dispatch",
  address = "10.20.3.21:9000", data_centre = "south-pen", vm = "dispatch-lm-3",
  checks_tokens = true;
create endpoint "dispatch-lm-4" set service = "dispatch",
  address = "10.20.1.22:9000", data_centre = "north-apron", vm = "dispatch-lm-4",
  checks_tokens = true;
create endpoint "dispatch-lm-5" set service = "dispatch",
  address = "10.20.2.22:9000", data_centre = "cargo-ramp", vm = "dispatch-lm-5",
  checks_tokens = true;
create endpoint "dispatch-lm-6" set service = "dispatch",
  address = "10.20.3.22:9000", data_centre = "south-pen", vm = "dispatch-lm-6",
  checks_tokens = true;

create endpoint "ramp-app-1" set service = "ramp",
  address = "10.20.1.31:9000", data_centre = "north-apron", vm = "ramp-app-1";
create endpoint "ramp-app-2" set service = "ramp",
  address = "10.20.2.31:9000", data_centre = "cargo-ramp", vm = "ramp-app-2";
create endpoint "ramp-app-3" set service = "ramp",
  address = "10.20.3.31:9000", data_centre = "south-pen", vm = "ramp-app-3";

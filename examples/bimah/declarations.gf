-- The declarations of Bimah Seating Ltd: six replicas of gabbai-llm and four
-- of pew-app in four data centres in the Midlands.
--   gypsumfoldctl check declarations.gf    without asking any node
--   gypsumfoldctl plan declarations.gf     what would change
--   gypsumfoldctl apply declarations.gf

-- Each role change takes an engine away just before a service, so it must
-- gain a minute of one engine's work beyond its own cost.
-- The planner is off: through real processes it served less than static roles
-- so far (docs/MEASUREMENTS.md). The weight counts once it is on.
create service "gabbai" set protocol = "engine", planner = false,
  change_weight = 60.0;
create service "pews" set protocol = "plain";

create model "gabbai-llm" set service = "gabbai";
create version "gabbai-llm@1" set model = "gabbai-llm", default = true;
create adapter "gabbai-llm:plans" set model = "gabbai-llm";

-- Whole seating plans may wait, but must come back right; a question about
-- one member's seat is asked with someone at the counter.
create kind "question" set service = "gabbai", urgency = 1, deadline = 10s,
  repeatable = true, default = true;
create kind "plan" set service = "gabbai", urgency = 5, deadline = 10m,
  repeatable = true;
-- A doubled hold promises one seat to two households, so holds and bookings
-- run at most once.
create kind "hold" set service = "pews", urgency = 0, deadline = 3s;
create kind "book" set service = "pews", urgency = 0, deadline = 5s;
create kind "seat" set service = "pews", urgency = 0, deadline = 3s,
  repeatable = true;

create objective "questions-on-time" set service = "gabbai", urgency = 1,
  target = 0.95, within = 1500ms;
create objective "plans-on-time" set service = "gabbai", urgency = 5,
  target = 0.95, within = 2m;
create objective "holds-on-time" set service = "pews", urgency = 0,
  target = 0.99, within = 500ms;

-- Digests of the word "example" and the account's name: replace them.
create account "office" set
  token_sha256 = "1151ab0c8279fb8d74aaf48c7b0d9fba18df56723f38f048a785cfc71489d258",
  weight = 1.0, most_urgent = 1;
create account "wardens" set
  token_sha256 = "e090c58d9ac8148cf3d93537748a4de226600159f795898d947e533fc3562b83",
  weight = 1.0, most_urgent = 1;
create account "members" set
  token_sha256 = "9bcabb4c0d4d821cb1f124d5250abc8c75966a336fcd2fb32e7dddb1decf1e2c",
  weight = 4.0, most_urgent = 0;

-- Say of each engine whether it refuses orders with an old fencing token; no
-- is assumed where nothing is said. Here, for the example, four do.
create endpoint "gabbai-llm-1" set service = "gabbai",
  address = "10.30.1.21:9000", data_centre = "brum-a", vm = "gabbai-llm-1",
  checks_tokens = true;
create endpoint "gabbai-llm-2" set service = "gabbai",
  address = "10.30.2.21:9000", data_centre = "brum-b", vm = "gabbai-llm-2",
  checks_tokens = true;
create endpoint "gabbai-llm-3" set service = "gabbai",
  address = "10.30.3.21:9000", data_centre = "notts", vm = "gabbai-llm-3",
  checks_tokens = true;
create endpoint "gabbai-llm-4" set service = "gabbai",
  address = "10.30.4.21:9000", data_centre = "leic", vm = "gabbai-llm-4",
  checks_tokens = true;
create endpoint "gabbai-llm-5" set service = "gabbai",
  address = "10.30.1.22:9000", data_centre = "brum-a", vm = "gabbai-llm-5";
create endpoint "gabbai-llm-6" set service = "gabbai",
  address = "10.30.2.22:9000", data_centre = "brum-b", vm = "gabbai-llm-6";

create endpoint "pew-app-1" set service = "pews",
  address = "10.30.1.31:9000", data_centre = "brum-a", vm = "pew-app-1";
create endpoint "pew-app-2" set service = "pews",
  address = "10.30.2.31:9000", data_centre = "brum-b", vm = "pew-app-2";
create endpoint "pew-app-3" set service = "pews",
  address = "10.30.3.31:9000", data_centre = "notts", vm = "pew-app-3";
create endpoint "pew-app-4" set service = "pews",
  address = "10.30.4.31:9000", data_centre = "leic", vm = "pew-app-4";

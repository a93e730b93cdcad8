/** Messages between nodes. Each frame carries one Envelope. */

enum Kind { CALL = 1, REPLY = 2, FAILURE = 3 }

/** One call, its reply or its failure. */
struct Envelope {
  1: required i64 call;
  2: required Kind kind;
  /** The method of a call; the exception type's name of a failure. */
  3: required string name;
  4: required binary body;
}

/** The first call on a connection and all later heartbeats, and their reply. */
struct Heartbeat {
  1: required string node;
  2: required string incarnation;
  3: required string address;
  4: required string data_centre;
  /** Offset of the last configuration change in effect; -1 for none. */
  5: required i64 revision;
  6: required bool stopping;
}

/** Demand for one service on one node per second, served or not. */
struct Demand {
  1: required string service_name;
  2: required double prompt_tokens;
  3: required double output_tokens;
  4: required i32 waiting;
}

/** Token rate of one account at one service on one node in recent seconds. */
struct AccountUse {
  1: required string account;
  2: required double tokens_per_second;
  3: required string service_name;
}

/** Load of a node, bounded to at most 64 services and 32 accounts. */
struct Digest {
  1: required string incarnation;
  2: required i64 sequence;
  3: required list<Demand> demand;
  4: required list<AccountUse> hottest;
}

/** Requests the configuration from an offset of the log on. */
struct ConfigPull {
  1: required i64 start;
  /** Offset of the snapshot to continue with; -1 for none. */
  2: required i64 snapshot;
  3: required i32 part;
}

/** One entry of the config stream, without parts of snapshots. */
struct ConfigEntry {
  1: required i64 offset;
  2: required double time;
  3: required binary body;
}

/** Either entries in order, or one part of a snapshot. */
struct ConfigPage {
  1: required list<ConfigEntry> entries;
  /** Offset of the snapshot; -1 if entries are sent. */
  2: required i64 snapshot;
  3: required i32 parts;
  4: required binary body;
}

/** A closed engine and the log offset at which it was closed. */
struct ClosedEngine {
  1: required string engine;
  2: required i64 offset;
}

/** The closed engines that a node knows, for other nodes' permissions. */
struct ClosedEngines {
  /** Whether the node has read stream `control` to its end since its start. */
  1: required bool caught_up;
  /** The offset up to which the node has read the stream. */
  2: required i64 through;
  3: required list<ClosedEngine> closed;
}

/** Number of dispatches to an engine in progress on a node. */
struct Dispatching {
  1: required i32 count;
}

struct Nothing {}

/** Asks the node that made a claim for the state of its call. */
struct ClaimQuestion {
  1: required string claim;
  2: required string account;
  3: required string key;
}

/** How a call ended: an answer (a status) or a problem (no status). */
struct CallEnding {
  1: required i32 status;
  2: optional string content_type;
  3: optional binary body;
  4: optional string problem;
  5: optional string detail;
  6: optional string outcome;
  7: optional double retry_after;
}

/** State of a claim on the node that made it. */
struct ClaimState {
  /** Whether the node knows the claim. */
  1: required bool known;
  /** Left out while the call runs. */
  2: optional CallEnding ending;
}

/** A call under a key that is bound to the addressed incarnation. */
struct BoundCall {
  1: required string account;
  2: required string service_name;
  3: required string call;
  4: required string key;
  5: required binary body;
  /** Seconds until its deadline. */
  6: required double limit;
}

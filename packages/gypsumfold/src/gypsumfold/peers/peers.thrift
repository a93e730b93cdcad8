/** Messages between nodes. Each frame carries one Envelope. */

enum Kind { CALL = 1, REPLY = 2, FAILURE = 3 }

/** One call, its reply or its failure. */
struct Envelope {
  1: required i64 call;
  2: required Kind kind;
  /** Of a call: the method. Of a failure: the type's name. */
  3: required string name;
  4: required binary body;
}

/** First call on a connection, and the heartbeat after it. */
struct Heartbeat {
  1: required string node;
  2: required string incarnation;
  3: required string address;
  4: required string data_centre;
  /** Offset of the last change of configuration in force; -1 for none. */
  5: required i64 revision;
  6: required bool stopping;
}

/** What callers ask of one service on one node, a second, served or not. */
struct Demand {
  1: required string service_name;
  2: required double prompt_tokens;
  3: required double output_tokens;
  4: required i32 waiting;
}

/** Tokens of one account at one service on one node, over the last seconds. */
struct AccountUse {
  1: required string account;
  2: required double tokens_per_second;
  3: required string service_name;
}

/** Of bounded size: at most 64 services and 32 accounts. */
struct Digest {
  1: required string incarnation;
  2: required i64 sequence;
  3: required list<Demand> demand;
  4: required list<AccountUse> hottest;
}

struct Nothing {}

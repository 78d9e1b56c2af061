# The datagrams of the gossip protocol between hosts. A byte before this message
# carries the version of the whole format.
@0xd2f1c7a95b3e8046;

enum State {
  live @0;
  leaving @1;
  suspect @2;
  dead @3;
}

struct Member {
  name @0 :Text;
  dataCentre @1 :Text;
  ip @2 :Data;               # 4 or 16 bytes, in network order.
  port @3 :UInt16;
  state @4 :State;
  refutations @5 :UInt32;
  incarnation @6 :UInt64;    # Start time of the process, in Unix milliseconds.
  settingsVersion @7 :UInt64;
  capacity @8 :UInt16;       # In eighths of a core; 0 if not stated.
}

struct DocumentVersion {
  name @0 :Text;
  version @1 :UInt64;
}

struct Documents {
  fingerprint @0 :UInt64;
  truncated @1 :Bool;
  newest @2 :List(DocumentVersion);
}

struct Datagram {
  deployment @0 :UInt64;     # Hash of its name, so that fleets don't merge.
  source @1 :Member;
  sequence @2 :UInt64;
  documents @3 :Documents;
  members @4 :List(Member);  # Piggybacked updates, or a part of the table.
  union {
    ping @5 :Void;
    probeRequest @6 :Member;
    ack @7 :Void;
    passedOn @8 :Member;     # The subject of an ack relayed by a third host.
    gossip @9 :Void;
    table @10 :Void;
    summary @11 :Summary;
  }
}

struct Summary {
  isAnswer @0 :Bool;
  truncated @1 :Bool;
  buckets @2 :List(UInt64);
}

@0xb3c1f0a94d27e615;
# Frames between entry processes on their TCP channels. protocol/peer.py is the only
# reader and writer. Fields are only ever added at the end.

struct Outcome {
  kind @0 :UInt8;          # 0 answered, 1 not run, 2 unknown
  body @1 :Data;
  step @2 :Text;
  peer @3 :Text;
  reason @4 :Text;
  retryAfterMs @5 :UInt32;
}

struct ShardRef {
  shard @0 :Text;
  group @1 :Text;
}

struct ShardAnswer {
  shard @0 :Text;
  server @1 :Text;
  outcome @2 :Outcome;
  versions @3 :List(UInt64);
}

struct Frame {
  id @0 :UInt64;           # a request's id, repeated by its replies
  union {
    hello :group {
      format @1 :UInt16;
      deployment @2 :Text;
      host @3 :Text;
      incarnation @4 :UInt64;
    }
    ping @5 :Void;
    pong @6 :Void;
    search :group {
      requestId @7 :Text;
      service @8 :Text;
      version @9 :UInt64;
      leftMs @10 :UInt32;  # until the deadline, since clocks differ
      body @11 :Data;
      shards @12 :List(ShardRef);
    }
    answers :group {
      answers @13 :List(ShardAnswer);
    }
    cancel :group {
      shards @14 :List(Text);
    }
    run :group {
      requestId @15 :Text;
      service @16 :Text;
      group @17 :Text;
      leftMs @18 :UInt32;
      body @19 :Data;
    }
    ran :group {
      server @20 :Text;
      outcome @21 :Outcome;
    }
    fetch :group {
      name @22 :Text;
      atLeast @23 :UInt64;
    }
    document :group {
      name @24 :Text;
      version @25 :UInt64;  # 0 when this peer has none
      body @26 :Data;
    }
    goingAway @27 :Void;
    ticket :group {         # a question or an order about one ticket
      verb @28 :Text;
      ticket @29 :Text;
      body @30 :Data;
      outcome @31 :Outcome;
      leftMs @32 :UInt32;
    }
    ticketReply :group {
      verdict @33 :Text;
      outcome @34 :Outcome;
    }
  }
}

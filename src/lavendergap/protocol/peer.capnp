@0xb3c1f0a94d27e615;
# Frames on the TCP channels between hosts, except for the messages that
# protocol/packing.py encodes. protocol/peer.py is the only reader and writer.
# New fields are only added at the end.

struct Outcome {
  kind @0 :UInt8;          # 0 answered, 1 not run, 2 unknown, 3 none
  body @1 :Data;
  step @2 :Text;
  peer @3 :Text;
  reason @4 :Text;
  retryAfterMs @5 :UInt32;
}

struct Precedence {
  customer @0 :Text;
  weight @1 :Float64 = 1;
  priority @2 :UInt32;
}

struct Frame {
  id @0 :UInt64;           # id of the request, repeated by its replies
  union {
    hello :group {
      format @1 :UInt16;
      deployment @2 :Text;
      host @3 :Text;
      incarnation @4 :UInt64;
    }
    ping @5 :Void;
    pong @6 :Void;
    cancel :group {
      shards @7 :List(Text);
    }
    run :group {
      requestId @8 :Text;
      service @9 :Text;
      group @10 :Text;
      leftMs @11 :UInt32;  # time to the deadline; relative, since clocks differ
      body @12 :Data;
      precedence @28 :Precedence;
    }
    ran :group {
      server @13 :Text;
      outcome @14 :Outcome;
    }
    fetch :group {
      name @15 :Text;
      atLeast @16 :UInt64;
    }
    document :group {
      name @17 :Text;
      version @18 :UInt64;  # 0 when this peer has none
      body @19 :Data;
    }
    goingAway @20 :Void;
    ticket :group {         # a request about one ticket
      verb @21 :Text;
      ticket @22 :Text;
      body @23 :Data;
      outcome @24 :Outcome;
      leftMs @25 :UInt32;
      precedence @29 :Precedence;
    }
    ticketReply :group {
      verdict @26 :Text;
      outcome @27 :Outcome;
    }
  }
}

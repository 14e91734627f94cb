@0xc1f0a8d2b7e94d11;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fleet_wire");

# Messages between gateway nodes. Regenerate with
# `capnp compile -oc++ Fleet.capnp` in this folder.

struct PeerAge {
  # Hash of the node's datagram address.
  key @0 :UInt32;
  # Time since anything was heard of the node, in milliseconds.
  ageMs @1 :UInt32;
}

struct UpstreamLoad {
  key @0 :UInt32;
  requests @1 :UInt32;
  prefillTokens @2 :UInt32;
  kvTokens @3 :UInt32;
}

struct NodeReport {
  # Datagram address of the sender.
  address @0 :Text;
  name @1 :Text;
  front @2 :Text;
  # Unique to the run of the process.
  run @3 :UInt64;
  ready @4 :Bool;
  leaving @5 :Bool;
  peers @6 :List(PeerAge);
  # Datagram addresses of some peers, others in each round.
  named @11 :List(Text);
  work @7 :List(UpstreamLoad);
  configVersion @8 :UInt64;
  held @9 :List(HeldTokens);
  # Relative to other nodes.
  capacity @10 :Float64;
}

struct HeldTokens {
  # Hash of the account's name.
  account @0 :UInt32;
  tokens @1 :UInt64;
}

# Asks a node for prepaid tokens that it was granted and does not need.
struct TokenRequest {
  # Datagram address for the answer.
  address @0 :Text;
  # Unique to the asking run; a repeated request gets the same answer.
  id @1 :UInt64;
  run @2 :UInt64;
  account @3 :Text;
  # Least amount of use.
  needed @4 :Int64;
  wanted @5 :Int64;
}

struct TokenTransfer {
  id @0 :UInt64;
  # Run that asked; another run of that node must not take the tokens.
  run @1 :UInt64;
  account @2 :Text;
  tokens @3 :Int64;
}

struct PeerDatagram {
  union {
    report @0 :NodeReport;
    request @1 :TokenRequest;
    transfer @2 :TokenTransfer;
  }
}

struct StateRow {
  table @0 :Text;
  key @1 :Text;
  value @2 :Data;
  version @3 :UInt64;
}

struct StateSnapshot {
  rows @0 :List(StateRow);
}

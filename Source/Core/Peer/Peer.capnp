# Wire format between nodes. Peer.capnp.h and Peer.capnp.c++ are generated from
# this file with `capnp compile -oc++ Peer.capnp` and committed.
@0xd0c7b0a2a57f3b61;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("peer_wire");

enum Status {
  ok @0;
  unknownKey @1;
  badSignature @2;
  replayed @3;
  wrongReceiver @4;
  malformed @5;
}

# Bootstrap interface. Both sides give a random nonce, which every later
# signature on this connection covers.
interface Gate {
  open @0 (caller :Text, receiver :Text, nonce :Data)
       -> (status :Status, nonce :Data, peer :Peer);
}

interface Peer {
  heartbeat @0 Call -> Reply;    # Heartbeat -> Heartbeat
  holdCharges @1 Call -> Reply;  # HoldCharges -> HoldChargesReply
  dropCharges @2 Call -> Reply;  # DropCharges -> Ack
  quarantine @3 Call -> Reply;   # QuarantineNotice -> Ack
}

struct Call {
  counter @0 :UInt64;  # rises with every call on the connection
  keyId @1 :Text;
  body @2 :Data;       # the method's message, packed
  mac @3 :Data;        # HMAC-SHA256
}

struct Reply {
  status @0 :Status;
  body @1 :Data;       # empty unless ok
  mac @2 :Data;        # empty unless ok
}

struct Wide {
  high @0 :UInt64;
  low @1 :UInt64;
}

enum Health {
  alive @0;
  suspect @1;
  dead @2;
}

struct Descriptor {
  zone @0 :Text;
  region @1 :Text;
  address @2 :Text;
  peerAddress @3 :Text;
}

struct MemberUpdate {
  node @0 :Text;
  incarnation @1 :UInt64;
  counter @2 :UInt32;
  health @3 :Health;
  leaving @4 :Bool;
  descriptor @5 :Descriptor;
}

struct Heartbeat {
  from @0 :MemberUpdate;
  configVersion @1 :UInt64;
  updates @2 :List(MemberUpdate);
  askAbout @3 :List(Text);
  unreached @4 :List(Text);
}

struct Charge {
  request @0 :Wide;
  account @1 :Text;
  budget @2 :Text;
  holderNode @3 :Text;
  holderIncarnation @4 :UInt64;
  tokens @5 :UInt64;
  timeMicroseconds @6 :Int64;  # since the Unix epoch
  fromSegment @7 :UInt64;
}

struct HoldCharges {
  charges @0 :List(Charge);
}

enum HoldStatus {
  held @0;
  holderClosed @1;
  full @2;
}

struct HoldChargesReply {
  status @0 :HoldStatus;
}

struct DropCharges {
  holderNode @0 :Text;
  holderIncarnation @1 :UInt64;
  requests @2 :List(Wide);
}

enum QuarantineState {
  suspect @0;
  cleared @1;
  quarantined @2;
}

struct QuarantineNotice {
  content @0 :Wide;
  state @1 :QuarantineState;
  upstream @2 :Text;
  node @3 :Text;
  crashes @4 :UInt32;
  retrying @5 :Bool;
}

struct Ack {
}

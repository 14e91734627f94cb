@0xc1f0a8d2b7e94d11;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fleet_wire");

# Messages between gateway nodes. After a change regenerate the code with `capnp
# compile -oc++ Fleet.capnp` in this folder.

struct PeerAge {
  # Hash of the node's datagram address.
  key @0 :UInt32;
  # Time since the node was heard of, in milliseconds.
  ageMs @1 :UInt32;
}

struct UpstreamLoad {
  key @0 :UInt32;
  requests @1 :UInt32;
  prefillTokens @2 :UInt32;
  kvTokens @3 :UInt32;
}

# The costs that clients offer are sent beside the report in a datagram of another
# layout, see `offered_notice` in `PeerDatagram.h`.
struct NodeReport {
  # Datagram address of the sender.
  address @0 :Text;
  name @1 :Text;
  front @2 :Text;
  # Identifies the run of the process.
  run @3 :UInt64;
  ready @4 :Bool;
  leaving @5 :Bool;
  peers @6 :List(PeerAge);
  # Datagram addresses of some peers, different ones in each round.
  named @11 :List(Text);
  work @7 :List(UpstreamLoad);
  configVersion @8 :UInt64;
  held @9 :List(HeldTokens);
  # Capacity relative to other nodes.
  capacity @10 :Float64;
  rateLimits @12 :List(RateLimit);
  # Time since the sender's copies of configuration and server entries were
  # current, in milliseconds; the default value if it has none.
  configAgeMs @13 :UInt32 = 4294967295;
  serversAgeMs @16 :UInt32 = 4294967295;
  # The sender has lost its links to all servers.
  cutOff @14 :Bool;
  pauses @15 :List(ServerPause);
  # Availability zone and region of the host.
  zone @17 :Text;
  region @18 :Text;
  # Use of the busier direction of the link, and of the processor, in thousandths
  # of what the host has; the default value if not known.
  linkUsePermille @19 :UInt16 = 65535;
  processorUsePermille @20 :UInt16 = 65535;
  # Open connections of clients; the default value if not known.
  clientConnections @21 :UInt16 = 65535;
  # 0 not stated, 1 accepts clients, 2 close to its limit and to be left out of
  # address answers, 3 refuses connections as well.
  clientState @22 :UInt8;
  # Contact of the sender to the store, by the store's clock, see `StoreContact.h`.
  contactStatedAtMs @23 :UInt64;
  contactSinceMs @24 :UInt64;
}

# A brittle server had no room for a request of the sender.
struct ServerPause {
  # Hash of the server's identity.
  server @0 :UInt32;
  # Time for which it is to get no further requests, in milliseconds.
  leftMs @1 :UInt32;
}

# What a server told the sending node of its rate limit.
struct RateLimit {
  # Hash of the server's identity.
  server @0 :UInt32;
  incarnation @1 :UInt64;
  # False if the server names no limit any more.
  limited @2 :Bool;
  # Requests a second from all nodes together.
  perSecond @3 :Float64;
  # Time since the server said so, in milliseconds.
  ageMs @4 :UInt32;
}

struct HeldTokens {
  # Hash of the account's name.
  account @0 :UInt32;
  tokens @1 :UInt64;
}

# Requests prepaid tokens that the receiver was granted and does not need.
struct TokenRequest {
  # Datagram address for the answer.
  address @0 :Text;
  # Unique within the requesting run; a repeated request gets the same answer.
  id @1 :UInt64;
  run @2 :UInt64;
  account @3 :Text;
  # Smallest number of tokens that is of use.
  needed @4 :Int64;
  wanted @5 :Int64;
}

struct TokenTransfer {
  id @0 :UInt64;
  # The requesting run; another run of that node must not accept the tokens.
  run @1 :UInt64;
  account @2 :Text;
  tokens @3 :Int64;
}

# A server run seemed to end while it ran a request.
struct CrashReport {
  # Fingerprint of the request.
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  server @2 :Text;
  incarnation @3 :UInt64;
  # Time since the end was observed, in milliseconds.
  ageMs @4 :UInt32;
  # The server fell silent; no connection broke.
  silent @5 :Bool;
}

# A server answered a request that has crash reports.
struct ServedRequest {
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  ageMs @2 :UInt32;
}

# A server run seemed to end while it ran a request with the prompt segment.
struct SegmentCrash {
  segmentHigh @0 :UInt64;
  segmentLow @1 :UInt64;
  server @2 :Text;
  incarnation @3 :UInt64;
  # Time since the end was observed, in milliseconds.
  ageMs @4 :UInt32;
}

# A server answered a request with a prompt segment that has crashes.
struct ServedSegment {
  segmentHigh @0 :UInt64;
  segmentLow @1 :UInt64;
  ageMs @2 :UInt32;
}

struct CrashNotice {
  reports @0 :List(CrashReport);
  served @1 :List(ServedRequest);
  segments @2 :List(SegmentCrash);
  servedSegments @3 :List(ServedSegment);
}

# Software at which a stream began.
struct StreamRecord {
  # Hash of the identity of the request that began it.
  stream @0 :UInt64;
  # Hash of service and version.
  software @1 :UInt64;
  # Time since the stream began, in milliseconds.
  ageMs @2 :UInt32;
}

struct StreamNotice {
  records @0 :List(StreamRecord);
}

# Asks at which software a stream began.
struct StreamQuery {
  # Datagram address for the answer.
  address @0 :Text;
  stream @1 :UInt64;
  services @2 :List(Text);
}

struct StreamAnswer {
  stream @0 :UInt64;
  # 0 if the node does not know.
  software @1 :UInt64;
  # The only software of the services; all bits are set if the node knows of
  # several, 0 if it is not certain.
  onlySoftware @2 :UInt64;
  # Hash of the address of the node that answers.
  node @3 :UInt32;
}

# Sent to all nodes at once, because a server falls within a second.
struct PauseNotice {
  pauses @0 :List(ServerPause);
}

# Sums of observations by server run and load level, see `ServerEstimates.h`.
# All lists have the same length. Encoded in `CapacityDatagram.cpp`; the
# generated code does not contain it.
#
# struct CapacityNotice {
#   servers @0 :List(UInt32);
#   incarnations @1 :List(UInt64);
#   levels @2 :List(UInt8);
#   firstEvents @3 :List(Float32);
#   expectedMs @4 :List(Float32);
#   observedMs @5 :List(Float32);
#   gaps @6 :List(Float32);
#   gapMs @7 :List(Float32);
# }
#
# The sender's work at the servers where it changed, see `LoadNotices.h`.
#
# struct LoadNotice {
#   address @0 :Text;
#   run @1 :UInt64;
#   sequence @2 :UInt64;
#   work @3 :List(UpstreamLoad);
# }

# Members 8 and 9 are `capacity :CapacityNotice` and `load :LoadNotice`.
struct PeerDatagram {
  union {
    report @0 :NodeReport;
    request @1 :TokenRequest;
    transfer @2 :TokenTransfer;
    crashes @3 :CrashNotice;
    streams @4 :StreamNotice;
    streamQuery @5 :StreamQuery;
    streamAnswer @6 :StreamAnswer;
    pauses @7 :PauseNotice;
  }
}

struct StateRow {
  table @0 :Text;
  key @1 :Text;
  value @2 :Data;
  version @3 :UInt64;
}

# The sender's copy of a table.
struct TableState {
  table @0 :Text;
  # Version of the store up to which the copy holds all changes.
  version @1 :UInt64;
  # Time since the copy was current, in milliseconds.
  ageMs @2 :UInt32;
  # Era of the store that gave the version; 0 if not known.
  era @3 :UInt64;
}

struct StateSnapshot {
  rows @0 :List(StateRow);
  # Tables whose rows are all in `rows`.
  tables @1 :List(TableState);
}

#pragma once

#include <optional>

#include <capnp/any.h>
#include <capnp/message.h>

#include "Capacity/ServerEstimates.h"
#include "Gateway/LoadNotices.h"

/// Encodes the members `capacity` and `load` of `PeerDatagram` by the layout
/// that `Fleet.capnp` gives them, because the generated code lacks them.

void WriteCapacity(capnp::MessageBuilder& aMessage,
                   const capacity_notice& aNotice);
void WriteLoad(capnp::MessageBuilder& aMessage, const load_notice& aNotice);

/// Return nothing if the datagram has another member. Both throw
/// `kj::Exception` if it is malformed.
std::optional<capacity_notice> ReadCapacity(capnp::AnyPointer::Reader aRoot);
std::optional<load_notice> ReadLoad(capnp::AnyPointer::Reader aRoot);

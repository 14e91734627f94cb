#include "Gateway/HeldBytes.h"

#include <algorithm>
#include <utility>

namespace {

// Memory of the process without requests.
constexpr std::uint64_t kProcessBytes = 12'000'000;
// Buffers grow by doubling, so they take up to twice the bytes that they hold.
constexpr std::uint64_t kBufferGrowth = 2;
// Smallest share of the memory for held bytes, for hosts with little memory.
constexpr double kMinMemoryShare = 0.3;
// Use from which on the bounds for a stream fall. The host leaves the address
// answers at the same use (`host_load`).
constexpr double kPressureUse = 0.7;
// Bound of the unsent bytes to a client. Most streams are shorter.
constexpr std::size_t kMaxStreamBytes = 262144;
// Responses up to this size are sent whole, so that a broken connection to the
// server does not truncate them.
constexpr std::size_t kMaxBufferedBytes = 1048576;
// The same at the bound of the node: most responses are smaller.
constexpr std::size_t kMinBufferedBytes = 16384;

// Requests up to this size may use the whole bound, larger ones while they
// arrive only this share of it.
constexpr std::size_t kSmallInputBytes = 65536;
constexpr double kLargeInputShare = 0.75;
// Share of the bound that the largest small request leaves free; a smaller one
// leaves as much less.
constexpr double kSmallInputReserve = 0.1;
// A larger request may hold this many times the bytes that are free.
constexpr std::size_t kFreeBytesFactor = 16;

std::size_t IndexOf(held_kind aKind)
{
  return static_cast<std::size_t>(aKind);
}

std::size_t Scale(std::size_t aBytes, double aShare)
{
  return static_cast<std::size_t>(static_cast<double>(aBytes) * aShare);
}

} // namespace

std::string_view HeldKindName(held_kind aKind)
{
  switch (aKind) {
    case held_kind::ArrivingRequests:
      return "arriving_requests";
    case held_kind::RequestBodies:
      return "request_bodies";
    case held_kind::ToServers:
      return "to_servers";
    case held_kind::BufferedResponses:
      return "buffered_responses";
    case held_kind::ToClients:
      return "to_clients";
    case held_kind::Connections:
      return "connections";
  }
  return "unknown";
}

held_bytes::held_bytes(std::uint64_t aMemoryBytes)
  : mLimit(Scale(aMemoryBytes, kMinMemoryShare))
{
  if (aMemoryBytes > kProcessBytes) {
    mLimit = std::max<std::size_t>(
      mLimit, (aMemoryBytes - kProcessBytes) / kBufferGrowth);
  }
}

void held_bytes::Add(held_kind aKind, std::size_t aBytes)
{
  mBytes[IndexOf(aKind)] += aBytes;
  mTotal += aBytes;
}

void held_bytes::Remove(held_kind aKind, std::size_t aBytes)
{
  Set(aKind, Of(aKind) - std::min(Of(aKind), aBytes));
}

void held_bytes::Set(held_kind aKind, std::size_t aBytes)
{
  std::size_t& bytes = mBytes[IndexOf(aKind)];
  mTotal = mTotal - bytes + aBytes;
  bytes = aBytes;
}

std::size_t held_bytes::Of(held_kind aKind) const
{
  return mBytes[IndexOf(aKind)];
}

double held_bytes::Use() const
{
  return mLimit == 0
           ? 0.0
           : static_cast<double>(mTotal) / static_cast<double>(mLimit);
}

double held_bytes::Headroom() const
{
  return std::clamp((1.0 - Use()) / (1.0 - kPressureUse), 0.0, 1.0);
}

bool held_bytes::MayHold(std::size_t aHeld, std::size_t aMore) const
{
  if (aHeld + aMore <= kSmallInputBytes) {
    const double reserve = kSmallInputReserve *
                           static_cast<double>(aHeld + aMore) /
                           static_cast<double>(kSmallInputBytes);
    return HasRoom(aMore + Scale(mLimit, reserve));
  }
  const std::size_t limit = Scale(mLimit, kLargeInputShare);
  const std::size_t free = limit - std::min(limit, mTotal);
  return aMore <= free && aHeld + aMore <= kFreeBytesFactor * free;
}

std::size_t held_bytes::PressureExcess() const
{
  const std::size_t limit = Scale(mLimit, kPressureUse);
  return mTotal - std::min(mTotal, limit);
}

std::size_t held_bytes::StreamLimit() const
{
  return Scale(kMaxStreamBytes, Headroom());
}

std::size_t held_bytes::BufferLimit() const
{
  return std::max(kMinBufferedBytes, Scale(kMaxBufferedBytes, Headroom()));
}

held_share::held_share(held_bytes& aHeld, held_kind aKind, std::size_t aBytes)
  : mHeld(aHeld)
  , mKind(aKind)
  , mBytes(aBytes)
{
  mHeld.Add(mKind, mBytes);
}

held_share::~held_share()
{
  Release();
}

void held_share::Release()
{
  mHeld.Remove(mKind, std::exchange(mBytes, 0));
}

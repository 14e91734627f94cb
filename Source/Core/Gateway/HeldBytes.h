#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// What a node holds in memory for clients and servers, and the bounds on it.
/// Does no input or output.

enum class held_kind : std::uint8_t
{
  /// Requests that have not arrived in full.
  ArrivingRequests,
  /// Bodies and heads of open requests.
  RequestBodies,
  /// Bytes of requests that servers or other nodes have not taken.
  ToServers,
  /// Responses that are sent whole once they are complete.
  BufferedResponses,
  /// Bytes of responses that clients have not taken.
  ToClients,
  /// Open connections, without what they send and receive, above the number
  /// that every node has.
  Connections,
};

constexpr std::array<held_kind, 6> kHeldKinds = {
  held_kind::ArrivingRequests, held_kind::RequestBodies,
  held_kind::ToServers,        held_kind::BufferedResponses,
  held_kind::ToClients,        held_kind::Connections,
};

/// Name in metrics and log lines.
std::string_view HeldKindName(held_kind aKind);

/// Sums of the held bytes, and the bounds for a stream and for the node. The
/// bounds for a stream are constant while the node holds less than 0.7 of its
/// own bound, and fall to their minimum from there on.
class held_bytes
{
public:
  /// `aMemoryBytes` is what the process may use in total.
  explicit held_bytes(std::uint64_t aMemoryBytes);

  void Add(held_kind aKind, std::size_t aBytes);
  void Remove(held_kind aKind, std::size_t aBytes);
  void Set(held_kind aKind, std::size_t aBytes);

  std::size_t Of(held_kind aKind) const;
  std::size_t Total() const { return mTotal; }
  /// Bound on the bytes of all kinds together.
  std::size_t Limit() const { return mLimit; }
  /// Held bytes as a share of the bound; 0 if the bound is 0.
  double Use() const;
  /// Whether new requests must be refused.
  bool IsFull() const { return mTotal > mLimit; }
  /// Whether `aBytes` more stay within the bound.
  bool HasRoom(std::size_t aBytes) const { return mTotal + aBytes <= mLimit; }
  /// Whether a connection that holds `aHeld` bytes of requests may hold `aMore`
  /// further ones. The fewer bytes are free, the smaller a request must be
  /// (dynamic thresholds, Choudhury and Hahne 1998).
  bool MayHold(std::size_t aHeld, std::size_t aMore) const;
  /// Bytes above the bound.
  std::size_t Excess() const { return IsFull() ? mTotal - mLimit : 0; }
  /// Bytes above the use from which on the bounds for a stream fall.
  std::size_t PressureExcess() const;
  /// Unsent bytes to a client above which its server is no longer read.
  std::size_t StreamLimit() const;
  /// Size up to which a response is buffered and sent whole.
  std::size_t BufferLimit() const;

private:
  /// 1 while memory is left, 0 at the bound.
  double Headroom() const;

  std::array<std::size_t, kHeldKinds.size()> mBytes{};
  std::size_t mTotal = 0;
  std::size_t mLimit;
};

/// Counts bytes as held until it is released or destroyed.
class held_share final
{
public:
  held_share(held_bytes& aHeld, held_kind aKind, std::size_t aBytes);
  ~held_share();
  held_share(const held_share&) = delete;
  held_share& operator=(const held_share&) = delete;

  std::size_t Bytes() const { return mBytes; }
  void Release();

private:
  held_bytes& mHeld;
  held_kind mKind;
  std::size_t mBytes;
};

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"

/// Decides which clients that do not read are ended. Does no input or output.

/// A client connection with unsent bytes.
struct client_sample
{
  /// Identifies the connection among the open ones.
  std::uintptr_t mConnection = 0;
  /// Bytes that the process holds for the client.
  std::size_t mUnsentBytes = 0;
  /// Bytes that the client's host has acknowledged.
  std::uint64_t mTakenBytes = 0;
  /// Whether the client's host accepts no more bytes and none are under way.
  /// False for bytes that wait for the network, or if that is not known.
  bool mWindowClosed = false;
  /// When the client's host was last heard of.
  time_point mHeardAt{};
  /// Whether the server of the client's stream is not read, because the stream
  /// is at its bound.
  bool mAtBound = false;
  auto operator<=>(const client_sample&) const = default;
};

/// A client whose connection must be closed.
struct client_to_end
{
  std::uintptr_t mConnection = 0;
  std::size_t mUnsentBytes = 0;
  /// Since when the client has read nothing.
  time_point mUnreadSince{};
  /// Whether it is ended for the memory of the node. The stream is at its own
  /// bound otherwise.
  bool mForNode = false;
  auto operator<=>(const client_to_end&) const = default;
};

/// Follows what clients take. A client that takes anything, or that was not
/// heard of since, is never ended: its bytes may wait for the network.
///
/// A receiver announces space only once a sixteenth of its buffer is free, so
/// reads of a slow client are seen seconds apart. A client that was seen to
/// read after a pause is given twice that pause; one that was not, and that
/// reads less than a sixteenth in `kUnreadTime`, counts as one that does not
/// read.
class slow_readers
{
public:
  /// Time without a byte taken after which a client counts as not reading.
  static constexpr std::chrono::milliseconds kUnreadTime{ 2000 };
  /// The same for clients that read with pauses. Kernels give a connection up
  /// after 10 s.
  static constexpr std::chrono::milliseconds kMaxUnreadTime{ 10000 };

  /// `aSamples` are all clients with unsent bytes; others are forgotten.
  /// `aExcess` are the bytes that the node holds above its bound. Returns the
  /// clients to end: those at the bound of their stream, then those that hold
  /// most until the excess is gone. Must be called several times a second.
  std::vector<client_to_end> Update(const std::vector<client_sample>& aSamples,
                                    std::size_t aExcess,
                                    time_point aNow);
  /// Clients of the last call that do not read.
  std::size_t UnreadCount() const { return mUnreadCount; }

private:
  struct progress
  {
    std::uint64_t mTakenBytes = 0;
    time_point mUnreadSince;
    /// When the client counts as not reading if it takes nothing until then.
    time_point mUnreadAt;
    /// Whether the window was closed at the last sample.
    bool mWindowClosed = false;
  };

  static progress Advance(const progress* aKnown,
                          const client_sample& aSample,
                          time_point aNow);
  static bool DoesNotRead(const client_sample& aSample,
                          const progress& aProgress,
                          time_point aNow);

  std::unordered_map<std::uintptr_t, progress> mProgress;
  std::size_t mUnreadCount = 0;
};

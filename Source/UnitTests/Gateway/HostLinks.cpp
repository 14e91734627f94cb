#include "HostLinks.h"

#include <algorithm>
#include <utility>

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSendInterval(5);

} // namespace

void outgoing_queue::SetBytesPerSecond(double aBytesPerSecond)
{
  mBytesPerSecond = aBytesPerSecond;
  mTimer.Every(kSendInterval, [this] { Send(); });
}

void outgoing_queue::Add(const std::shared_ptr<tcp_stream>& aTo,
                         std::string_view aBytes)
{
  if (mBytesPerSecond <= 0.0) {
    aTo->Write(aBytes);
    return;
  }
  mEntries.push_back({ aTo, std::string(aBytes) });
}

void outgoing_queue::Close(const std::shared_ptr<tcp_stream>& aTo)
{
  if (mBytesPerSecond <= 0.0) {
    aTo->CloseAfterDrain();
    return;
  }
  mEntries.push_back({ aTo, {}, true });
}

void outgoing_queue::Reset(const std::shared_ptr<tcp_stream>& aTo)
{
  std::erase_if(mEntries,
                [&](const entry& aEntry) { return aEntry.mTo == aTo; });
  aTo->Reset();
}

void outgoing_queue::Send()
{
  auto room = static_cast<std::size_t>(
    mBytesPerSecond * std::chrono::duration<double>(kSendInterval).count());
  while (!mEntries.empty()) {
    entry& next = mEntries.front();
    const std::size_t size = std::min(room, next.mBytes.size());
    if (size < next.mBytes.size() && size == 0) {
      return;
    }
    next.mTo->Write(std::string_view(next.mBytes).substr(0, size));
    next.mBytes.erase(0, size);
    room -= size;
    if (!next.mBytes.empty()) {
      return;
    }
    if (next.mClose) {
      next.mTo->CloseAfterDrain();
    }
    mEntries.pop_front();
  }
}

severable_link::severable_link(tcp_address aTarget, outgoing_queue& aQueue)
  : mTarget(std::move(aTarget))
  , mQueue(aQueue)
{
  std::string error;
  mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
}

void severable_link::SetState(state aState)
{
  std::string error;
  mState = aState;
  if (aState == state::RefusesNew) {
    mListener->Pause();
  } else {
    mListener->Resume(error);
  }
  if (aState == state::Resets || aState == state::Open) {
    // A connection whose bytes were dropped cannot go on.
    for (const auto& pair : mPairs) {
      pair->Reset();
    }
  }
}

void severable_link::side::OnData(std::string_view aBytes)
{
  if (mLink->mState == state::Hangs || !mOther->mStream) {
    return;
  }
  if (mAtHost) {
    mLink->mQueue.Add(mOther->mStream, aBytes);
  } else {
    mOther->mStream->Write(aBytes);
  }
}

void severable_link::side::OnEnd(tcp_end_reason aReason)
{
  if (!mOther->mStream) {
    return;
  }
  if (!mAtHost) {
    mOther->mStream->CloseAfterDrain();
  } else if (aReason == tcp_end_reason::Finished) {
    mLink->mQueue.Close(mOther->mStream);
  } else {
    mLink->mQueue.Reset(mOther->mStream);
  }
}

void severable_link::connection_pair::Reset()
{
  mNear.mStream->Reset();
  mFar.mStream->Reset();
}

void severable_link::OnAccept(int aDescriptor)
{
  auto pair = std::make_unique<connection_pair>();
  pair->mNear.mLink = pair->mFar.mLink = this;
  pair->mNear.mOther = &pair->mFar;
  pair->mFar.mOther = &pair->mNear;
  pair->mNear.mAtHost = true;
  pair->mNear.mStream = tcp_stream::Adopt(aDescriptor, {}, pair->mNear);
  pair->mFar.mStream = tcp_stream::Connect(mTarget, {}, pair->mFar);
  if (mState == state::Resets) {
    pair->Reset();
  }
  mPairs.push_back(std::move(pair));
}

void linked_row_store::SetState(severable_link::state aState)
{
  for (const auto& [address, link] : mLinks) {
    link->SetState(aState);
  }
}

forwarding_row_store::page_callback linked_row_store::WrapPage(
  page_callback aReply)
{
  return [this, reply = std::move(aReply)](auto aPage) {
    if (!aPage.has_value()) {
      reply(std::move(aPage));
      return;
    }
    row_page page = aPage.value();
    for (stored_row& row : page.mRows) {
      Reroute(row.mValue);
    }
    reply(std::move(page));
  };
}

void linked_row_store::Reroute(std::string& aValue)
{
  constexpr std::string_view kKey = "\"address\":\"";
  const auto found = aValue.find(kKey);
  if (found == std::string::npos) {
    return;
  }
  const auto from = found + kKey.size();
  const auto size = aValue.find('"', from) - from;
  const std::string address = aValue.substr(from, size);
  auto& link = mLinks[address];
  if (!link) {
    link = std::make_unique<severable_link>(*ParseTcpAddress(address), mQueue);
  }
  aValue.replace(from, size, link->Address());
}

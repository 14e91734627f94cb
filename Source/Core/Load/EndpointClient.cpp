#include "Load/EndpointClient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

using json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kDefaultCache{ 10'000 };
// Pause before nodes are asked again when none answered.
constexpr milliseconds kFailureCache{ 500 };

} // namespace

/// One request to one node.
struct endpoint_client::question
{
  endpoint_client* mClient;
  std::weak_ptr<int> mAlive;
  std::string mApiKey;
  std::size_t mNode;
  SoupMessage* mMessage;
};

known_endpoints ReadEndpoints(std::string_view aBody)
{
  known_endpoints answer;
  answer.mCache = kDefaultCache;
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return answer;
  }
  const auto cache = body.find("cache_ms");
  if (cache != body.end() && cache->is_number_unsigned()) {
    answer.mCache = milliseconds(cache->get<std::uint32_t>());
  }
  for (const json& entry : body.value("endpoints", json::array())) {
    const json text =
      entry.is_object() ? entry.value("address", json()) : entry;
    const auto address = text.is_string()
                           ? ParseSocketAddress(text.get<std::string>())
                           : std::nullopt;
    if (address) {
      answer.mAddresses.push_back(*address);
    }
  }
  return answer;
}

endpoint_client::endpoint_client(SoupSession* aSession,
                                 const time_source& aTime,
                                 std::vector<socket_address> aNodes)
  : mSession(aSession)
  , mTime(aTime)
  , mNodes(std::move(aNodes))
  , mCancellable(g_cancellable_new())
{
}

endpoint_client::~endpoint_client()
{
  mAlive.reset();
  g_cancellable_cancel(mCancellable);
  g_object_unref(mCancellable);
}

void endpoint_client::Get(const std::string& aApiKey, callback aCallback)
{
  cache_entry& entry = mCache[aApiKey];
  if (mTime.Now() < entry.mFreshUntil) {
    aCallback(entry.mAddresses.empty() ? mNodes : entry.mAddresses);
    return;
  }
  entry.mWaiting.push_back(std::move(aCallback));
  if (!entry.mAsking) {
    entry.mAsking = true;
    Ask(aApiKey, 0);
  }
}

void endpoint_client::Ask(const std::string& aApiKey, std::size_t aNode)
{
  const std::string url =
    fmt::format("http://{}/v1/endpoints", FormatSocketAddress(mNodes[aNode]));
  SoupMessage* message = soup_message_new("GET", url.c_str());
  soup_message_headers_append(soup_message_get_request_headers(message),
                              "Authorization",
                              ("Bearer " + aApiKey).c_str());
  soup_session_send_and_read_async(
    mSession,
    message,
    G_PRIORITY_DEFAULT,
    mCancellable,
    [](GObject* aSource, GAsyncResult* aResult, gpointer aQuestion) {
      const std::unique_ptr<question> asked(static_cast<question*>(aQuestion));
      GBytes* body = soup_session_send_and_read_finish(
        SOUP_SESSION(aSource), aResult, nullptr);
      if (!asked->mAlive.expired()) {
        asked->mClient->OnAnswer(*asked, body);
      }
      g_clear_pointer(&body, g_bytes_unref);
      g_object_unref(asked->mMessage);
    },
    new question{ this, mAlive, aApiKey, aNode, message });
}

void endpoint_client::OnAnswer(const question& aQuestion, GBytes* aBody)
{
  cache_entry& entry = mCache[aQuestion.mApiKey];
  const bool answered =
    aBody != nullptr &&
    soup_message_get_status(aQuestion.mMessage) == SOUP_STATUS_OK;
  if (answered) {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(aBody, &size));
    known_endpoints answer = ReadEndpoints(std::string_view(data, size));
    entry.mAddresses = std::move(answer.mAddresses);
    entry.mFreshUntil = mTime.Now() + answer.mCache;
  } else if (aQuestion.mNode + 1 < mNodes.size()) {
    Ask(aQuestion.mApiKey, aQuestion.mNode + 1);
    return;
  } else {
    entry.mFreshUntil = mTime.Now() + kFailureCache;
  }
  Answer(entry);
}

void endpoint_client::Answer(cache_entry& aEntry)
{
  aEntry.mAsking = false;
  const std::vector<callback> waiting = std::move(aEntry.mWaiting);
  aEntry.mWaiting.clear();
  const auto addresses = aEntry.mAddresses.empty() ? mNodes : aEntry.mAddresses;
  for (const callback& call : waiting) {
    call(addresses);
  }
}

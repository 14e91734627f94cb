#include "Gateway/ServerProbe.h"

#include <utility>

#include <fmt/format.h>

namespace {

using std::chrono::milliseconds;

// Interval of requests while the host is cut off. Each asks one server, and
// servers charge for them.
constexpr milliseconds kProbeInterval(400);
constexpr milliseconds kProbeTimeout(1000);
constexpr tcp_liveness kProbeLiveness{ milliseconds(1000) };

} // namespace

class server_probe::request final : public http_client_exchange_observer
{
public:
  request(const probe_target& aTarget,
          time_point aDeadline,
          response_callback& aOnResponse)
    : mTarget(aTarget)
    , mConnection(aTarget.mAddress, kProbeLiveness)
    , mDeadline(aDeadline)
    , mOnResponse(aOnResponse)
  {
    if (mConnection.Closed()) {
      mEnded = true;
      return;
    }
    mConnection.Start(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n",
                                  aTarget.mHealthPath,
                                  FormatTcpAddress(aTarget.mAddress)),
                      {},
                      false,
                      *this);
  }

  bool Ended(time_point aNow) const { return mEnded || aNow >= mDeadline; }

private:
  bool OnResponse(http_client_connection&,
                  http_client_response aResponse) override
  {
    mOnResponse(mTarget, aResponse);
    return true;
  }
  void OnBody(std::string_view) override {}
  void OnComplete(bool) override { mEnded = true; }
  void OnExchangeFailed(exchange_failure) override { mEnded = true; }

  probe_target mTarget;
  http_client_connection mConnection;
  time_point mDeadline;
  response_callback& mOnResponse;
  bool mEnded = false;
};

server_probe::server_probe(response_callback aOnResponse)
  : mOnResponse(std::move(aOnResponse))
{
}

server_probe::~server_probe() = default;

void server_probe::OnTick(const upstream_registry& aServers, time_point aNow)
{
  std::erase_if(mRequests,
                [aNow](const auto& aRequest) { return aRequest->Ended(aNow); });
  if (aNow < mNextAt) {
    return;
  }
  const auto targets = aServers.ProbeTargets();
  if (targets.empty()) {
    return;
  }
  mNextAt = aNow + kProbeInterval;
  mRequests.push_back(
    std::make_unique<request>(targets[mNextTarget++ % targets.size()],
                              aNow + kProbeTimeout,
                              mOnResponse));
}

void server_probe::Stop()
{
  mRequests.clear();
}

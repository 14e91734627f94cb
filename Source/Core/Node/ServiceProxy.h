#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Config/FleetDocument.h"
#include "Node/NodeMetrics.h"
#include "Node/RequestError.h"
#include "Node/Trace.h"
#include "Node/UpstreamWatch.h"
#include "Remote/HttpClient.h"
#include "Remote/HttpServerExchange.h"
#include "Services/ServiceCallSystem.h"

/// Dependencies of the service proxy; all must outlive it.
struct service_context
{
  service_call_system* mCalls = nullptr;
  http_client* mClient = nullptr;
  node_metrics* mMetrics = nullptr;
  tracer* mTracer = nullptr;
  const time_source* mTime = nullptr;
  std::function<void()> mWake;
};

/// Forwards `/v1/services/NAME/...` to the hosts of plain services. Calls that
/// must not be repeated go through the service call system, which records them
/// first. Other calls are retried on the next host when one fails.
class service_proxy
{
public:
  explicit service_proxy(service_context aContext);

  void ApplyDocument(std::shared_ptr<const fleet_document> aDocument);
  /// Sets the live hosts of each service.
  void SetHosts(std::map<service_id, std::vector<service_host>> aHosts);

  void Accept(const http_server_exchange_ptr& aExchange);
  /// Sends the calls and replies that the service call system decided on.
  void Apply(const service_call_output& aWork);
  /// Number of calls without an answer.
  std::size_t Open() const { return mUnrepeatable.size() + mRepeatableCount; }
  void BeginShutdown() { mShuttingDown = true; }

private:
  struct service_request
  {
    account_id mAccount;
    service_id mService;
    /// Path at the service host, with the query string.
    std::string mPath;
    std::string mMethod;
    std::string mContentType;
    std::string mBody;
    trace_span mSpan;
  };
  /// A call that must not be repeated, until it is answered.
  struct unrepeatable_call
  {
    http_server_exchange_ptr mExchange;
    std::shared_ptr<service_request> mRequest;
  };

  result<std::shared_ptr<service_request>, request_error> Admit(
    http_server_exchange& aExchange);
  void BeginUnrepeatable(const http_server_exchange_ptr& aExchange,
                         std::shared_ptr<service_request> aRequest);
  void SendRepeatable(const http_server_exchange_ptr& aExchange,
                      const std::shared_ptr<service_request>& aRequest,
                      std::size_t aAttempt);
  void SendUnrepeatable(call_number aCall);
  void ReplyToCall(const call_answer& aAnswer);
  const service_host* NextHost(const service_id& aService);
  http_request MakeRequest(const service_request& aRequest,
                           const service_host& aHost) const;
  void Refuse(const http_server_exchange_ptr& aExchange,
              const request_error& aError);

  service_context mContext;
  std::shared_ptr<const fleet_document> mDocument;
  std::map<service_id, std::vector<service_host>> mHosts;
  std::map<service_id, std::size_t> mNextHost;
  std::map<call_number, unrepeatable_call> mUnrepeatable;
  std::size_t mRepeatableCount = 0;
  http_request_owner mRequests;
  bool mShuttingDown = false;
};

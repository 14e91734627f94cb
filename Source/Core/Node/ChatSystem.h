#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Budget/BudgetSystem.h"
#include "Common/Time.h"
#include "Config/FleetDocument.h"
#include "Dispatch/DispatchSystem.h"
#include "Node/ChatSession.h"
#include "Node/NodeMetrics.h"
#include "Node/Trace.h"
#include "Remote/HttpClient.h"

/// Dependencies of the chat system; all must outlive it.
struct chat_context
{
  budget_system* mBudget = nullptr;
  dispatch_system* mDispatch = nullptr;
  http_client* mClient = nullptr;
  node_metrics* mMetrics = nullptr;
  tracer* mTracer = nullptr;
  const time_source* mTime = nullptr;
  /// Schedules a tick soon after a change that a tick must act on.
  std::function<void()> mWake;
};

/// Handles chat requests from arrival to final answer: admission, budget
/// reservation, dispatch, streaming from the upstream and settlement.
class chat_system
{
public:
  chat_system(chat_context aContext,
              std::uint32_t aMaxOpen,
              std::uint64_t aSeed);
  ~chat_system();
  chat_system(const chat_system&) = delete;
  chat_system& operator=(const chat_system&) = delete;

  void ApplyDocument(std::shared_ptr<const fleet_document> aDocument);
  /// `IP:port` of each upstream.
  void SetUpstreamAddresses(std::map<upstream_id, std::string> aAddresses);
  /// Makes requests reserve from a new holder after the old one was fenced.
  /// Requests with a reservation of the old holder must have ended.
  void ReplaceBudget(budget_system& aBudget);

  /// Marks budgets whose waiting reservations the next tick tries again.
  void OnBudgetsChanged(const std::vector<budget_id>& aBudgets);

  /// Handles a `POST /v1/chat/completions`.
  void Accept(const http_server_exchange_ptr& aExchange);

  /// Processes grants, dispatch decisions and protected charges.
  /// @return quarantine notices to broadcast to the other nodes
  std::vector<quarantine_notice> Tick(time_point aNow);

  /// Refuses new requests; open ones continue.
  void BeginShutdown() { mShuttingDown = true; }
  /// Ends every open request with an error; returns their number.
  std::size_t AbortAll();
  /// Number of requests without a final answer.
  std::size_t Open() const { return mSessions.size(); }

private:
  void BeginSession(admitted_chat aAdmitted,
                    const http_server_exchange_ptr& aExchange);
  request_id ChooseRequestId(const account_id& aAccount,
                             std::string_view aIdempotencyKey);
  bool TryReserve(chat_session& aSession, time_point aNow);
  void Enqueue(chat_session& aSession, time_point aNow);
  void RetryGrants(time_point aNow);
  void ApplyStarts(const std::vector<start_decision>& aStarts, time_point aNow);
  void ApplyRejects(const std::vector<reject_decision>& aRejects);
  void ApplyCancels(const std::vector<cancel_decision>& aCancels);
  void FinishProtected(time_point aNow);

  void StartAttempt(chat_session& aSession,
                    const start_decision& aStart,
                    time_point aNow);
  http_request MakeUpstreamRequest(chat_session& aSession,
                                   const std::string& aAddress,
                                   const start_decision& aStart);
  void HandleHead(chat_session& aSession, const http_response_head& aHead);
  void HandleData(chat_session& aSession, std::string_view aBytes);
  void ForwardEvents(chat_session& aSession, std::string_view aBytes);
  void RecordTokens(chat_session& aSession, std::int64_t aTokens);
  void HandleEnd(chat_session& aSession, std::optional<http_failure> aFailure);
  void HandleErrorStatus(chat_session& aSession);
  bool ResponseComplete(const chat_session& aSession) const;
  std::optional<token_usage> ReportedUsage(chat_session& aSession);
  void CompleteResponse(chat_session& aSession);
  void HandleBrokenAttempt(chat_session& aSession);
  void FinishProbe(const request_id& aRequest, bool aCrashed);
  bool CanResume(const model_id& aModel) const;
  void HandleCallerClosed(const request_id& aRequest);

  std::int64_t DeliveredPrice(const chat_session& aSession) const;
  void SettleDelivered(chat_session& aSession);
  void SettleReservation(chat_session& aSession, std::int64_t aUnits);
  void ReleaseReservation(chat_session& aSession);
  void FinishResponse(chat_session& aSession);
  void FailRequest(chat_session& aSession, const request_error& aError);
  void RefuseRequest(const http_server_exchange_ptr& aExchange,
                     const request_error& aError);
  void RemoveSession(chat_session& aSession);

  chat_context mContext;
  std::uint32_t mMaxOpen;
  std::mt19937_64 mRandom;
  std::shared_ptr<const fleet_document> mDocument;
  std::map<upstream_id, std::string> mAddresses;
  chat_session_map mSessions;
  /// Sessions in step `AwaitingGrant`, so that a tick visits no others.
  std::vector<request_id> mAwaitingGrant;
  std::set<budget_id> mChangedBudgets;
  /// Sessions in step `AwaitingProtection`.
  std::vector<request_id> mAwaitingProtection;
  http_request_owner mProbes;
  bool mShuttingDown = false;
};

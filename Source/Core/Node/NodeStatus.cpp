#include "Node/NodeStatus.h"

#include <initializer_list>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Node/NodeApp.h"

namespace {

using json = nlohmann::json;

listed_upstream MakeUpstream(const host_entry& aHost)
{
  listed_upstream entry;
  entry.mUpstream.mName = aHost.mName;
  entry.mZone.mName = aHost.mZone;
  entry.mRegion.mName = aHost.mRegion;
  entry.mLeaving = aHost.mState == host_state::Leaving;
  return entry;
}

json FormatMembers(const std::vector<member>& aMembers)
{
  json members = json::array();
  for (const member& member : aMembers) {
    members.push_back({ { "node", member.mId.mName },
                        { "incarnation", member.mIncarnation },
                        { "zone", member.mDescriptor.mZone.mName },
                        { "region", member.mDescriptor.mRegion.mName },
                        { "address", member.mDescriptor.mAddress },
                        { "state", MemberStateName(member.mState) } });
  }
  return members;
}

json FormatUpstreams(const dispatch_status& aStatus)
{
  json upstreams = json::array();
  for (const upstream_status& upstream : aStatus.mUpstreams) {
    upstreams.push_back({ { "upstream", upstream.mUpstream.mName },
                          { "leaving", upstream.mLeaving },
                          { "ejected", upstream.mEjected },
                          { "in_flight", upstream.mOwnInFlight },
                          { "others_in_flight", upstream.mOthersInFlight },
                          { "limit", upstream.mLimit } });
  }
  return upstreams;
}

json FormatBudgets(const std::vector<budget_status>& aBudgets)
{
  json budgets = json::array();
  for (const budget_status& budget : aBudgets) {
    budgets.push_back({ { "budget", budget.mBudget.mName },
                        { "free", budget.mFree },
                        { "reserved", budget.mReserved },
                        { "unflushed", budget.mUnflushed },
                        { "total", budget.mTotal },
                        { "spent", budget.mSpent },
                        { "available", budget.mAvailable },
                        { "rate", budget.mRate } });
  }
  return budgets;
}

/// Name, help text and current total of a counter that a system keeps.
struct counter_total
{
  const char* mName;
  const char* mHelp;
  std::uint64_t mValue;
};

void SetTotals(std::initializer_list<counter_total> aRows,
               node_metrics& aMetrics)
{
  for (const counter_total& row : aRows) {
    aMetrics.SetTotal(row.mName, row.mHelp, static_cast<double>(row.mValue));
  }
}

void UpdateBudgetMetrics(const budget_counters& aCounters,
                         node_metrics& aMetrics)
{
  SetTotals(
    {
      { "budget_reservations_total",
        "Reservations made.",
        aCounters.mReservations },
      { "budget_refused_exhausted_total",
        "Reservations refused because the budget does not cover them.",
        aCounters.mRefusedExhausted },
      { "budget_charges_total", "Charges made.", aCounters.mCharges },
      { "budget_duplicate_charges_total",
        "Charges dropped because the request was billed before.",
        aCounters.mDuplicateCharges },
      { "budget_excess_usage_total",
        "Responses whose usage was above the reservation.",
        aCounters.mExcessUsage },
      { "budget_unprotected_deliveries_total",
        "Responses finished with the charge in this process only.",
        aCounters.mUnprotectedDeliveries },
      { "budget_unfunded_charges_total",
        "Charges that no grant or remaining budget could pay.",
        aCounters.mUnfundedCharges },
      { "budget_transactions_total",
        "Transactions sent to the table service.",
        aCounters.mTransactions },
      { "budget_rows_written_total",
        "Rows in those transactions.",
        aCounters.mRowsWritten },
      { "budget_conflicts_total",
        "Transactions that met a changed row.",
        aCounters.mConflicts },
      { "budget_table_errors_total",
        "Table calls without an answer.",
        aCounters.mTableErrors },
      { "budget_hold_failures_total",
        "Hold messages that no backup acknowledged.",
        aCounters.mHoldFailures },
      { "budget_unreadable_rows_total",
        "Rows that are malformed or of a newer format.",
        aCounters.mUnreadableRows },
    },
    aMetrics);
}

void UpdateDispatchMetrics(const dispatch_system& aDispatch,
                           node_metrics& aMetrics)
{
  const dispatch_counters& counters = aDispatch.Counters();
  SetTotals({ { "retries_total",
                "Requests sent to a further upstream.",
                counters.mRetries },
              { "retries_denied_total",
                "Retries that the retry budget did not allow.",
                counters.mRetriesDenied },
              { "displaced_total",
                "Free-tier streams cancelled for paid work.",
                counters.mDisplaced },
              { "upstream_crashes_total",
                "Crashes of upstreams seen by this node.",
                counters.mUpstreamCrashes },
              { "prefix_hits_total",
                "Requests sent to an upstream that had part of their prompt.",
                counters.mPrefixHits },
              { "cache_gaps_total",
                "Gaps in the cache events of upstreams.",
                counters.mCacheGaps } },
            aMetrics);
  aMetrics.SetGauge("queued_requests",
                    "Requests that wait for an upstream.",
                    aDispatch.QueuedCount());
}

void UpdatePeerMetrics(const node_app& aNode, node_metrics& aMetrics)
{
  const peer_client_counters& client = aNode.PeerClient().Counters();
  const peer_server_counters& server = aNode.PeerServer().Counters();
  SetTotals({ { "peer_bytes_out_total",
                "Bytes sent to other nodes.",
                client.mBytesOut + server.mBytesOut },
              { "peer_bytes_in_total",
                "Bytes received from other nodes.",
                client.mBytesIn + server.mBytesIn },
              { "peer_call_failures_total",
                "Calls to other nodes without an answer.",
                client.mFailed },
              { "peer_auth_failures_total",
                "Calls from other nodes with a wrong key or signature.",
                server.mUnknownKey + server.mBadSignature } },
            aMetrics);
}

} // namespace

hosts_by_role GroupHostsByRole(const host_list_snapshot& aListing)
{
  hosts_by_role tables;
  for (const host_entry& host : aListing.mHosts) {
    switch (host.mRole) {
      case host_role::Engine:
        tables.mUpstreams.push_back(MakeUpstream(host));
        tables.mEngineAddresses.emplace(upstream_id{ host.mName },
                                        host.mAddress);
        break;
      case host_role::Service:
        if (host.mState == host_state::Live) {
          tables.mServiceHosts[service_id{ host.mService }].push_back(
            { host.mName, host.mAddress, host.mZone });
        }
        break;
      case host_role::Node:
        break;
    }
  }
  return tables;
}

json FormatEndpoints(const endpoint_answer& aAnswer)
{
  json endpoints = json::array();
  for (const member& node : aAnswer.mNodes) {
    endpoints.push_back({ { "address", node.mDescriptor.mAddress },
                          { "zone", node.mDescriptor.mZone.mName } });
  }
  return { { "endpoints", std::move(endpoints) },
           { "cache_ms",
             std::chrono::milliseconds(aAnswer.mTimeToLive).count() } };
}

json FormatNodeStatus(node_app& aNode)
{
  const dispatch_status dispatch = aNode.Dispatch().Status(aNode.Time().Now());
  return {
    { "node", aNode.Settings().mName.mName },
    { "zone", aNode.Settings().mZone.mName },
    { "phase", NodePhaseName(aNode.Phase()) },
    { "config_version", aNode.Config().Current().mVersion },
    { "newest_config_version", aNode.Membership().NewestConfigVersion() },
    { "config_fault", aNode.Config().LastError() },
    { "holder", FormatIncarnation(aNode.Budget().Self()) },
    { "open_requests", aNode.Chat().Open() },
    { "queued_requests", aNode.Dispatch().QueuedCount() },
    { "quarantined_contents", dispatch.mQuarantined },
    { "held_charges", aNode.ChargeBackup().HeldChargeCount() },
    { "members", FormatMembers(aNode.Membership().Members()) },
    { "upstreams", FormatUpstreams(dispatch) },
    { "budgets", FormatBudgets(aNode.Budget().AllBudgetStatus()) },
  };
}

void UpdateNodeMetrics(node_app& aNode, node_metrics& aMetrics)
{
  UpdateBudgetMetrics(aNode.Budget().Counters(), aMetrics);
  UpdateDispatchMetrics(aNode.Dispatch(), aMetrics);
  UpdatePeerMetrics(aNode, aMetrics);
  aMetrics.SetGauge("open_requests",
                    "Chat requests without a final answer.",
                    static_cast<double>(aNode.Chat().Open()));
  aMetrics.SetGauge("config_version",
                    "Version of the configuration in force.",
                    static_cast<double>(aNode.Config().Current().mVersion));
  aMetrics.SetGauge("members",
                    "Known nodes, including this one.",
                    static_cast<double>(aNode.Membership().Members().size()));
  aMetrics.SetGauge(
    "held_charges",
    "Charges kept for other nodes.",
    static_cast<double>(aNode.ChargeBackup().HeldChargeCount()));
  aMetrics.SetGauge(
    "ready", "1 while the node serves, else 0.", aNode.Ready() ? 1 : 0);
}

request_error MethodNotAllowedError(std::string_view aAllowed)
{
  return { request_error_code::InvalidRequest,
           fmt::format("method: expected {}", aAllowed),
           run_state::NotRun,
           std::nullopt };
}

request_error StartingError()
{
  return { request_error_code::ShuttingDown,
           "this node has no configuration yet",
           run_state::NotRun,
           std::chrono::milliseconds(1000) };
}

#include "Gateway/GatewayMetrics.h"

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

namespace {

// Bucket bounds in seconds, around the latency objectives of the routes.
const prometheus::Histogram::BucketBoundaries kFirstByteBounds = {
  0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0
};

} // namespace

gateway_metrics::gateway_metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mAnswers(prometheus::BuildCounter()
               .Name("gateway_answers_total")
               .Help("Final answers by route, status and reason")
               .Register(*mRegistry))
  , mRetries(prometheus::BuildCounter()
               .Name("gateway_repeated_sends_total")
               .Help("Sends of a request to a further server")
               .Register(*mRegistry))
  , mServerBreaks(prometheus::BuildCounter()
                    .Name("gateway_server_breaks_total")
                    .Help("Requests without a complete response of a server")
                    .Register(*mRegistry))
  , mCrashReports(prometheus::BuildCounter()
                    .Name("gateway_crash_reports_total")
                    .Help("Crashes of servers under a request, by source")
                    .Register(*mRegistry))
  , mSegmentCrashes(prometheus::BuildCounter()
                      .Name("gateway_segment_crashes_total")
                      .Help("Ends of servers under a prompt segment, by source")
                      .Register(*mRegistry))
  , mStreamResumptions(prometheus::BuildCounter()
                         .Name("gateway_stream_resumptions_total")
                         .Help("Streams that clients resume, by what is known "
                               "of their software version")
                         .Register(*mRegistry))
  , mLimitedSends(prometheus::BuildCounter()
                    .Name("gateway_rate_limited_sends_total")
                    .Help("Sends to servers that named a rate limit")
                    .Register(*mRegistry))
  , mColdSends(prometheus::BuildCounter()
                 .Name("gateway_cold_sends_total")
                 .Help("Sends to cold servers")
                 .Register(*mRegistry))
  , mStateVerdicts(prometheus::BuildCounter()
                     .Name("gateway_state_verdicts_total")
                     .Help("Changes of the judgement whether the state of the "
                           "store may be acted on")
                     .Register(*mRegistry))
  , mShed(prometheus::BuildCounter()
            .Name("gateway_shed_requests_total")
            .Help("Requests refused under overload, by rank")
            .Register(*mRegistry))
  , mSlowClients(prometheus::BuildCounter()
                   .Name("gateway_slow_clients_ended_total")
                   .Help("Clients that were ended because they did not read, "
                         "by the bound")
                   .Register(*mRegistry))
  , mHeldBytes(prometheus::BuildGauge()
                 .Name("gateway_held_bytes")
                 .Help("Bytes held for clients and servers, by kind")
                 .Register(*mRegistry))
  , mFirstByteSeen(prometheus::BuildHistogram()
                     .Name("gateway_first_byte_seconds")
                     .Help("Time to the first byte of the answer")
                     .Register(*mRegistry))
  , mUnusableEntries(prometheus::BuildCounter()
                       .Name("gateway_unusable_server_entries_total")
                       .Help("Entries read that name no server to use")
                       .Register(*mRegistry)
                       .Add({}))
  , mStoreRestored(prometheus::BuildCounter()
                     .Name("gateway_store_restored_total")
                     .Help("Times that the store came back from an older copy")
                     .Register(*mRegistry)
                     .Add({}))
  , mTokensTakenOver(
      AddGauge("gateway_prepaid_tokens_taken_over",
               "Prepaid tokens taken over from the earlier run on the host"))
  , mTokensLost(
      AddGauge("gateway_prepaid_tokens_lost",
               "Prepaid tokens that the earlier run on the host may have used"))
  , mCallbackFailures(
      AddGauge("gateway_callback_failures",
               "Callbacks of the event loop that ended with an exception"))
  , mOpenRequests(
      AddGauge("gateway_open_requests", "Requests without a final answer"))
  , mLiveNodes(AddGauge("gateway_live_nodes", "Nodes taken for alive"))
  , mConfigVersion(AddGauge("gateway_config_version", "Configuration in force"))
  , mStoreAge(AddGauge("gateway_store_contact_age_seconds",
                       "Age of the older one of configuration and server "
                       "entries"))
  , mOpened(
      AddGauge("gateway_opened_connections", "Connections opened to servers"))
  , mRateLimited(AddGauge("gateway_rate_limited_servers",
                          "Servers that named a rate limit"))
  , mEvacuatedZones(AddGauge("gateway_evacuated_zones",
                             "Zones whose servers get no requests"))
  , mColdServers(
      AddGauge("gateway_cold_servers", "Servers that are known to be cold"))
  , mEstimatedServers(AddGauge("gateway_estimated_servers",
                               "Servers whose capacity is estimated"))
  , mTurnedAway(AddGauge(
      "gateway_turned_away_share",
      "Share of requests refused because the limits of servers are used"))
  , mIgnoredObservations(
      AddGauge("gateway_ignored_observations",
               "Implausible observations of other nodes since the start"))
  , mLinkWait(AddGauge("gateway_link_wait_seconds",
                       "Estimated time that bytes wait for the outgoing link"))
  , mRelaying(AddGauge("gateway_relaying",
                       "1 while the node reaches no server and passes its "
                       "requests on"))
  , mNamedHosts(AddGauge("gateway_named_hosts",
                         "Addresses in the last answer to a client"))
  , mLinkUse(AddGauge("gateway_link_use",
                      "Use of the busier direction of the link, as a share"))
  , mProcessorUse(AddGauge("gateway_processor_use",
                           "Processor time used, as a share of the limit"))
  , mLeftAnswers(AddGauge("gateway_left_answers",
                          "1 while the host asks to be left out of address "
                          "answers"))
  , mShedding(AddGauge("gateway_shedding_services",
                       "Services whose load is shed by rank"))
  , mUnreadClients(AddGauge("gateway_unread_clients",
                            "Clients with unsent bytes that do not read"))
{
}

prometheus::Gauge& gateway_metrics::AddGauge(const char* aName,
                                             const char* aHelp)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(*mRegistry)
    .Add({});
}

void gateway_metrics::OnSlowClient(bool aForNode)
{
  mSlowClients.Add({ { "bound", aForNode ? "node" : "stream" } }).Increment();
}

void gateway_metrics::SetHeldBytes(std::string_view aKind, double aBytes)
{
  mHeldBytes.Add({ { "kind", std::string(aKind) } }).Set(aBytes);
}

void gateway_metrics::OnStateVerdict(std::string_view aVerdict)
{
  mStateVerdicts.Add({ { "verdict", std::string(aVerdict) } }).Increment();
}

void gateway_metrics::OnAnswer(const std::string& aRoute,
                               unsigned aStatus,
                               const std::string& aReason)
{
  mAnswers
    .Add({ { "route", aRoute },
           { "status", fmt::format("{}", aStatus) },
           { "reason", aReason } })
    .Increment();
}

void gateway_metrics::OnFirstByte(const std::string& aRoute, double aSeconds)
{
  mFirstByteSeen.Add({ { "route", aRoute } }, kFirstByteBounds)
    .Observe(aSeconds);
}

void gateway_metrics::OnRetry(const std::string& aReason)
{
  mRetries.Add({ { "reason", aReason } }).Increment();
}

void gateway_metrics::OnServerBreak(std::string_view aFailure, bool aCounted)
{
  mServerBreaks
    .Add({ { "failure", std::string(aFailure) },
           { "counted", aCounted ? "true" : "false" } })
    .Increment();
}

void gateway_metrics::OnCrashReport(const char* aSource)
{
  mCrashReports.Add({ { "source", aSource } }).Increment();
}

void gateway_metrics::OnSegmentCrash(const char* aSource)
{
  mSegmentCrashes.Add({ { "source", aSource } }).Increment();
}

void gateway_metrics::OnStreamResumption(const char* aResult)
{
  mStreamResumptions.Add({ { "result", aResult } }).Increment();
}

void gateway_metrics::OnLimitedSend(bool aRepeated)
{
  mLimitedSends.Add({ { "repeated", aRepeated ? "true" : "false" } })
    .Increment();
}

void gateway_metrics::OnColdSend(bool aRepeated)
{
  mColdSends.Add({ { "repeated", aRepeated ? "true" : "false" } }).Increment();
}

void gateway_metrics::OnShed(int aRank, bool aPromised)
{
  mShed
    .Add({ { "rank", fmt::format("{}", aRank) },
           { "promised", aPromised ? "true" : "false" } })
    .Increment();
}

std::string gateway_metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

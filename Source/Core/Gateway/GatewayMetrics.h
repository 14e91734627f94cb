#pragma once

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

/// Metrics of one gateway process.
class gateway_metrics
{
public:
  gateway_metrics();

  /// Counts a final answer by route, HTTP status and the reason for it.
  void OnAnswer(const std::string& aRoute,
                unsigned aStatus,
                const std::string& aReason);
  /// Records the time from the request to the first byte of the answer, in
  /// seconds.
  void OnFirstByte(const std::string& aRoute, double aSeconds);
  void OnRetry(const std::string& aReason);
  /// Counts a request without a complete response of its server, by failure.
  /// `aCounted` tells whether it counts as a crash under the request.
  void OnServerBreak(std::string_view aFailure, bool aCounted);
  /// Counts a crash that this node learned of, by the source of the report.
  void OnCrashReport(const char* aSource);
  /// Counts a server that ended under a prompt segment, by the source of the
  /// report.
  void OnSegmentCrash(const char* aSource);
  /// Counts a stream that a client resumes, by what became known of its
  /// software version.
  void OnStreamResumption(const char* aResult);
  /// Counts a send to a server that named a rate limit. `aRepeated` tells
  /// whether the request had been sent before.
  void OnLimitedSend(bool aRepeated);
  /// Counts a send to a cold server.
  void OnColdSend(bool aRepeated);
  /// Counts a client that was ended because it did not read. `aForNode` tells
  /// whether for the memory of the node.
  void OnSlowClient(bool aForNode);
  /// Sets the bytes that are held for clients and servers, by kind.
  void SetHeldBytes(std::string_view aKind, double aBytes);
  void SetUnreadClients(double aCount) { mUnreadClients.Set(aCount); }
  /// Counts a change of the judgement on the state that the node has.
  void OnStateVerdict(std::string_view aVerdict);
  void SetLinkWait(double aSeconds) { mLinkWait.Set(aSeconds); }
  void SetRelaying(double aRelaying) { mRelaying.Set(aRelaying); }
  void SetNamedHosts(double aCount) { mNamedHosts.Set(aCount); }
  /// Use as a share of what the host has; 0 if not known.
  void SetLinkUse(double aUse) { mLinkUse.Set(aUse); }
  void SetProcessorUse(double aUse) { mProcessorUse.Set(aUse); }
  void SetLeftAnswers(double aLeft) { mLeftAnswers.Set(aLeft); }
  void SetRateLimitedServers(double aCount) { mRateLimited.Set(aCount); }
  /// Sets the number of servers with estimates, the share of requests that is
  /// turned away, and the number of ignored observations of other nodes.
  void SetServerEstimates(std::size_t aServers,
                          double aTurnedAway,
                          std::size_t aIgnored)
  {
    mEstimatedServers.Set(static_cast<double>(aServers));
    mTurnedAway.Set(aTurnedAway);
    mIgnoredObservations.Set(static_cast<double>(aIgnored));
  }
  /// Counts an entry that names no server to use.
  void OnUnusableEntry() { mUnusableEntries.Increment(); }
  /// Counts a store that came back from an older copy of its rows.
  void OnStoreRestored() { mStoreRestored.Increment(); }
  /// Prepaid tokens of earlier runs on this host.
  void SetEarlierTokens(std::int64_t aTakenOver, std::int64_t aLost)
  {
    mTokensTakenOver.Set(static_cast<double>(aTakenOver));
    mTokensLost.Set(static_cast<double>(aLost));
  }
  /// Sets the callbacks of the event loop that ended with an exception.
  void SetCallbackFailures(double aCount) { mCallbackFailures.Set(aCount); }
  void SetColdServers(double aCount) { mColdServers.Set(aCount); }
  void SetEvacuatedZones(double aCount) { mEvacuatedZones.Set(aCount); }
  void SetSheddingServices(double aCount) { mShedding.Set(aCount); }
  /// Counts a refusal under overload, by rank. `aPromised` tells whether the
  /// client was told when it will be admitted.
  void OnShed(int aRank, bool aPromised);
  void SetOpenRequests(double aCount) { mOpenRequests.Set(aCount); }
  void SetLiveNodes(double aCount) { mLiveNodes.Set(aCount); }
  void SetConfigVersion(double aVersion) { mConfigVersion.Set(aVersion); }
  void SetStoreAge(double aSeconds) { mStoreAge.Set(aSeconds); }
  void SetOpenedConnections(double aCount) { mOpened.Set(aCount); }

  /// Metrics in the text exposition format of Prometheus.
  std::string Text() const;

private:
  prometheus::Gauge& AddGauge(const char* aName, const char* aHelp);

  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mAnswers;
  prometheus::Family<prometheus::Counter>& mRetries;
  prometheus::Family<prometheus::Counter>& mServerBreaks;
  prometheus::Family<prometheus::Counter>& mCrashReports;
  prometheus::Family<prometheus::Counter>& mSegmentCrashes;
  prometheus::Family<prometheus::Counter>& mStreamResumptions;
  prometheus::Family<prometheus::Counter>& mLimitedSends;
  prometheus::Family<prometheus::Counter>& mColdSends;
  prometheus::Family<prometheus::Counter>& mStateVerdicts;
  prometheus::Family<prometheus::Counter>& mShed;
  prometheus::Family<prometheus::Counter>& mSlowClients;
  prometheus::Family<prometheus::Gauge>& mHeldBytes;
  prometheus::Family<prometheus::Histogram>& mFirstByteSeen;
  prometheus::Counter& mUnusableEntries;
  prometheus::Counter& mStoreRestored;
  prometheus::Gauge& mTokensTakenOver;
  prometheus::Gauge& mTokensLost;
  prometheus::Gauge& mCallbackFailures;
  prometheus::Gauge& mOpenRequests;
  prometheus::Gauge& mLiveNodes;
  prometheus::Gauge& mConfigVersion;
  prometheus::Gauge& mStoreAge;
  prometheus::Gauge& mOpened;
  prometheus::Gauge& mRateLimited;
  prometheus::Gauge& mEvacuatedZones;
  prometheus::Gauge& mColdServers;
  prometheus::Gauge& mEstimatedServers;
  prometheus::Gauge& mTurnedAway;
  prometheus::Gauge& mIgnoredObservations;
  prometheus::Gauge& mLinkWait;
  prometheus::Gauge& mRelaying;
  prometheus::Gauge& mNamedHosts;
  prometheus::Gauge& mLinkUse;
  prometheus::Gauge& mProcessorUse;
  prometheus::Gauge& mLeftAnswers;
  prometheus::Gauge& mShedding;
  prometheus::Gauge& mUnreadClients;
};

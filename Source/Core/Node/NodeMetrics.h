#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "Common/Identity.h"

/// Prometheus metrics of one node, served at `/metrics`.
class node_metrics
{
public:
  node_metrics();

  /// Counts a request that got its final answer.
  /// @param aOutcome `ok`, `caller_gone` or the name of an error code
  void CountRequest(const account_id& aAccount,
                    work_rank aRank,
                    std::string_view aOutcome);
  void CountTokens(const account_id& aAccount, std::int64_t aTokens);
  void ObserveFirstToken(work_rank aRank, std::chrono::microseconds aDelay);
  void ObserveTokenGap(work_rank aRank, std::chrono::microseconds aDelay);

  /// Adds to a counter without labels, such as `retries_total`. Creates it at
  /// first use.
  void Count(std::string_view aName, std::string_view aHelp, double aStep = 1);
  /// Raises a counter to the total that another system keeps.
  void SetTotal(std::string_view aName, std::string_view aHelp, double aTotal);
  void SetGauge(std::string_view aName, std::string_view aHelp, double aValue);

  /// All metrics in the Prometheus text format.
  std::string Render() const;

private:
  using request_key = std::tuple<account_id, work_rank, std::string>;

  prometheus::Counter& NamedCounter(std::string_view aName,
                                    std::string_view aHelp);

  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mRequestFamily;
  prometheus::Family<prometheus::Counter>& mTokenFamily;
  std::map<request_key, prometheus::Counter*> mRequests;
  std::map<account_id, prometheus::Counter*> mTokens;
  std::map<std::string, prometheus::Counter*, std::less<>> mCounters;
  std::map<std::string, prometheus::Gauge*, std::less<>> mGauges;
  std::map<work_rank, prometheus::Histogram*> mFirstToken;
  std::map<work_rank, prometheus::Histogram*> mTokenGap;
};

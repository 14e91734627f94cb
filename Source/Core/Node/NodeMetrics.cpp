#include "Node/NodeMetrics.h"

#include <array>

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

namespace {

constexpr std::array kRanks = { work_rank::Urgent,
                                work_rank::Routine,
                                work_rank::Background };

// The targets, 1.2 s to the first token and 30 ms between tokens, are bucket
// boundaries, so that the share of requests that meets them can be read off.
const prometheus::Histogram::BucketBoundaries kFirstTokenSeconds = {
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2.0, 5.0, 10.0, 30.0
};
const prometheus::Histogram::BucketBoundaries kTokenGapSeconds = {
  0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.25, 1.0
};

double Seconds(std::chrono::microseconds aDelay)
{
  return std::chrono::duration<double>(aDelay).count();
}

std::string FullName(std::string_view aName)
{
  return fmt::format("lentilswitch_{}", aName);
}

} // namespace

node_metrics::node_metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mRequestFamily(
      prometheus::BuildCounter()
        .Name("lentilswitch_requests_total")
        .Help("Requests that got their final answer, by client account, rank "
              "and outcome.")
        .Register(*mRegistry))
  , mTokenFamily(prometheus::BuildCounter()
                   .Name("lentilswitch_billed_tokens_total")
                   .Help("Tokens charged by this node, by client account.")
                   .Register(*mRegistry))
{
  auto& firstToken = prometheus::BuildHistogram()
                       .Name("lentilswitch_first_token_seconds")
                       .Help("Time from a request to its first token.")
                       .Register(*mRegistry);
  auto& tokenGap = prometheus::BuildHistogram()
                     .Name("lentilswitch_token_gap_seconds")
                     .Help("Time between two reads of a response stream.")
                     .Register(*mRegistry);
  for (const work_rank rank : kRanks) {
    const prometheus::Labels labels{ { "rank",
                                       std::string(WorkRankName(rank)) } };
    mFirstToken[rank] = &firstToken.Add(labels, kFirstTokenSeconds);
    mTokenGap[rank] = &tokenGap.Add(labels, kTokenGapSeconds);
  }
}

void node_metrics::CountRequest(const account_id& aAccount,
                                work_rank aRank,
                                std::string_view aOutcome)
{
  const request_key key(aAccount, aRank, aOutcome);
  prometheus::Counter*& counter = mRequests[key];
  if (counter == nullptr) {
    counter =
      &mRequestFamily.Add({ { "account", aAccount.mName },
                            { "rank", std::string(WorkRankName(aRank)) },
                            { "outcome", std::string(aOutcome) } });
  }
  counter->Increment();
}

void node_metrics::CountTokens(const account_id& aAccount, std::int64_t aTokens)
{
  prometheus::Counter*& counter = mTokens[aAccount];
  if (counter == nullptr) {
    counter = &mTokenFamily.Add({ { "account", aAccount.mName } });
  }
  counter->Increment(static_cast<double>(aTokens));
}

void node_metrics::ObserveFirstToken(work_rank aRank,
                                     std::chrono::microseconds aDelay)
{
  mFirstToken[aRank]->Observe(Seconds(aDelay));
}

void node_metrics::ObserveTokenGap(work_rank aRank,
                                   std::chrono::microseconds aDelay)
{
  mTokenGap[aRank]->Observe(Seconds(aDelay));
}

void node_metrics::Count(std::string_view aName,
                         std::string_view aHelp,
                         double aStep)
{
  NamedCounter(aName, aHelp).Increment(aStep);
}

void node_metrics::SetTotal(std::string_view aName,
                            std::string_view aHelp,
                            double aTotal)
{
  prometheus::Counter& counter = NamedCounter(aName, aHelp);
  counter.Increment(aTotal - counter.Value());
}

void node_metrics::SetGauge(std::string_view aName,
                            std::string_view aHelp,
                            double aValue)
{
  auto found = mGauges.find(aName);
  if (found == mGauges.end()) {
    auto& family = prometheus::BuildGauge()
                     .Name(FullName(aName))
                     .Help(std::string(aHelp))
                     .Register(*mRegistry);
    found = mGauges.emplace(std::string(aName), &family.Add({})).first;
  }
  found->second->Set(aValue);
}

std::string node_metrics::Render() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

prometheus::Counter& node_metrics::NamedCounter(std::string_view aName,
                                                std::string_view aHelp)
{
  auto found = mCounters.find(aName);
  if (found == mCounters.end()) {
    auto& family = prometheus::BuildCounter()
                     .Name(FullName(aName))
                     .Help(std::string(aHelp))
                     .Register(*mRegistry);
    found = mCounters.emplace(std::string(aName), &family.Add({})).first;
  }
  return *found->second;
}

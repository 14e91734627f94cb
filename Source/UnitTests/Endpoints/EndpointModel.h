#pragma once

#include <array>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Endpoints/EndpointChoice.h"
#include "Endpoints/HostLoad.h"

/// How answers are made: by `endpoint_choice`, or as before it, when every node
/// named hosts by capacity and zone alone.
enum class answer_rule : std::uint8_t
{
  Before,
  After,
};

/// Traffic of a part of a run.
struct model_result
{
  double mRequests = 0.0;
  /// Requests at hosts that do not run or that clients cannot reach.
  double mLost = 0.0;
  /// Requests beyond what their host carries.
  double mAtFullHost = 0.0;
  /// Largest bytes of a host in one second over the mean of all hosts.
  double mWorstOverMean = 0.0;

  void Add(const model_result& aOther);
  double FailedShare() const { return (mLost + mAtFullHost) / mRequests; }
};

/// Hosts and their clients. A ninth of the hosts (8 of 72), or another part,
/// have 200 Mbit/s and half a core, the others 10 Mbit/s and 0.12 cores.
/// Clients of four zones send 2.5 MB/s for each 80 hosts, which takes a core.
/// Three large accounts keep to one address each as long as their answers name
/// it.
class endpoint_model
{
public:
  /// One in `aLargeDivisor` hosts is large.
  endpoint_model(unsigned aHosts,
                 answer_rule aRule,
                 unsigned aSeed,
                 unsigned aLargeDivisor = 9);

  /// Runs and returns what happened in this time.
  model_result Run(std::chrono::milliseconds aTime);
  void SetRunning(const std::function<bool(unsigned)>& aHosts, bool aRunning);
  /// Adds traffic to one host, as a share of what it carries.
  void SetForeignUse(unsigned aHost, double aUse);
  /// Whether hosts refuse connections while their link is overloaded, so that
  /// clients use another address of their answer at once.
  void SetRefusesConnections(bool aRefuses) { mRefusesConnections = aRefuses; }
  unsigned Size() const { return static_cast<unsigned>(mHosts.size()); }
  bool IsLarge(unsigned aHost) const;
  unsigned Zone(unsigned aHost) const { return aHost % 4; }
  /// The host that the largest account keeps to.
  unsigned HostOfLargestAccount() const;

private:
  struct host
  {
    endpoint_host mStated;
    double mLinkBytes = 0.0;
    double mCores = 0.0;
    bool mRunning = true;
    double mForeignUse = 0.0;
    double mBytes = 0.0;
    double mSecondBytes = 0.0;
    double mLinkUse = 0.0;
    std::unique_ptr<host_load> mLoad;
  };
  /// Clients that share an answer.
  struct caller
  {
    unsigned mZone = 0;
    double mBytesPerSecond = 0.0;
    bool mKeepsToOneHost = false;
    std::vector<std::string> mAnswer;
    std::string mHost;
    time_point mAsksAt;
  };
  /// A node that answers, with what it has heard.
  struct answerer
  {
    std::vector<endpoint_host> mKnown;
    endpoint_choice mChoice;
  };

  void AddCaller(unsigned aZone, double aBytesPerSecond, bool aKeepsToOneHost);
  void Report();
  void Ask(caller& aCaller);
  std::vector<std::string> AnswerBefore(const endpoint_view& aView,
                                        const std::string& aZone) const;
  endpoint_view View(const answerer& aAnswerer) const;
  /// The host that takes the connection: another of the answer if the target
  /// refuses it.
  unsigned Connect(const caller& aFrom, const std::string& aTarget);
  void Send(model_result& aResult);

  answer_rule mRule;
  unsigned mLargeDivisor;
  bool mRefusesConnections = false;
  std::vector<host> mHosts;
  std::unordered_map<std::string, unsigned> mByAddress;
  std::vector<caller> mCallers;
  std::vector<answerer> mAnswerers;
  std::mt19937 mRandom;
  unsigned mStep = 0;
  time_point mNow{ std::chrono::seconds(1000) };
};

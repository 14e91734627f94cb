#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Common/EventLoop.h"
#include "Common/Result.h"
#include "Demo/DemoDocument.h"
#include "Node/NodeApp.h"
#include "StandIn/StandInCluster.h"

struct embedded_fleet_options
{
  std::uint32_t mNodes = 3;
  std::vector<demo_account> mAccounts = DemoAccounts();
  stand_in_cluster_options mCluster;
  std::chrono::milliseconds mEndpointCacheTtl{ 300 };
};

/// Why the fleet did not come up.
struct fleet_error
{
  std::string mMessage;
};

/// Nodes and stand-ins on loopback in one process, on one loop.
class embedded_fleet
{
public:
  static constexpr const char* kOperatorId = "demo-operator";
  static constexpr const char* kOperatorSecret = "demo-operator-secret";

  explicit embedded_fleet(embedded_fleet_options aOptions = {});
  ~embedded_fleet();

  /// Starts everything and waits until all nodes serve.
  result<void, fleet_error> Start(event_loop& aLoop);
  /// Stops all nodes gracefully; false when they did not end in time.
  bool StopNodes(event_loop& aLoop, std::chrono::milliseconds aLimit);

  std::size_t Nodes() const { return mNodes.size(); }
  node_app& Node(std::size_t aIndex) { return *mNodes[aIndex]; }
  /// Ends a node without any clean-up, as a crash does.
  void KillNode(std::size_t aIndex);
  /// Adds a node and gives its index.
  result<std::size_t, fleet_error> AddNode();
  stand_in_cluster& Cluster() { return mCluster; }
  const std::vector<demo_account>& Accounts() const
  {
    return mOptions.mAccounts;
  }

  /// Tokens that the budget row says are spent; -1 when it is unreadable.
  std::int64_t Spent(const std::string& aBudget);
  /// Tokens that all runs of a node hold of a budget.
  std::int64_t Granted(const std::string& aBudget, const std::string& aNode);
  /// Whether reconciling the budget finds no fault.
  bool Reconciled(const std::string& aBudget);

private:
  result<void, fleet_error> StoreDocument();
  result<void, fleet_error> StoreBudgets();
  node_settings MakeSettings(std::size_t aIndex) const;
  void Publish(std::size_t aIndex);
  std::vector<table_row> Segments(const std::string& aBudget);

  embedded_fleet_options mOptions;
  stand_in_cluster mCluster;
  std::vector<std::unique_ptr<node_app>> mNodes;
  std::vector<bool> mStopped;
};

#include "Demo/EmbeddedFleet.h"

#include <utility>

#include <fmt/format.h>

#include "Budget/BudgetOperations.h"
#include "Config/ConfigImport.h"

namespace {

constexpr std::chrono::seconds kStartLimit(15);
constexpr const char* kPeerSecret = "demo-peer-secret";

/// Identities of the transactions that set the table up. Nothing else uses
/// such low ones.
transaction_id SetUpId(std::uint64_t aNumber)
{
  return { 0, aNumber };
}

socket_address Loopback()
{
  return { "127.0.0.1", 0 };
}

/// Set-up writes do not count against the rate limit that a load then meets.
bool CommitDirectly(stand_in_cluster& aCluster,
                    const table_transaction& aTransaction)
{
  return aCluster.Table().Table().Commit(aTransaction).mCommitted;
}

} // namespace

embedded_fleet::embedded_fleet(embedded_fleet_options aOptions)
  : mOptions(std::move(aOptions))
  , mCluster(mOptions.mCluster)
{
}

embedded_fleet::~embedded_fleet() = default;

result<void, fleet_error> embedded_fleet::Start(event_loop& aLoop)
{
  const auto started = mCluster.Start();
  if (!started) {
    return fleet_error{ started.error().mMessage };
  }
  BOOST_OUTCOME_TRYV(StoreDocument());
  BOOST_OUTCOME_TRYV(StoreBudgets());
  for (std::uint32_t i = 0; i < mOptions.mNodes; ++i) {
    BOOST_OUTCOME_TRYV(AddNode());
  }
  const bool serving = aLoop.RunUntil(
    [this] {
      for (const auto& node : mNodes) {
        if (!node->Ready() ||
            node->Membership().Members().size() < mNodes.size()) {
          return false;
        }
      }
      return true;
    },
    kStartLimit);
  if (!serving) {
    return fleet_error{ "the nodes did not become ready" };
  }
  return success();
}

bool embedded_fleet::StopNodes(event_loop& aLoop,
                               std::chrono::milliseconds aLimit)
{
  for (const auto& node : mNodes) {
    if (node) {
      node->Stop();
    }
  }
  return aLoop.RunUntil(
    [this] {
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        if (mNodes[i] && !mStopped[i]) {
          return false;
        }
      }
      return true;
    },
    aLimit);
}

void embedded_fleet::KillNode(std::size_t aIndex)
{
  mNodes[aIndex].reset();
  mCluster.Hosts().Remove(fmt::format("node-{}", aIndex + 1));
}

result<std::size_t, fleet_error> embedded_fleet::AddNode()
{
  const std::size_t index = mNodes.size();
  mStopped.push_back(false);
  auto node = node_app::Start(MakeSettings(index),
                              [this, index] { mStopped[index] = true; });
  if (!node) {
    return fleet_error{ node.error().mMessage };
  }
  mNodes.push_back(std::move(node.value()));
  Publish(index);
  return index;
}

node_settings embedded_fleet::MakeSettings(std::size_t aIndex) const
{
  auto& cluster = const_cast<stand_in_cluster&>(mCluster);
  node_settings settings;
  settings.mName.mName = fmt::format("node-{}", aIndex + 1);
  settings.mZone.mName = mCluster.Zone(aIndex);
  settings.mRegion.mName = mOptions.mCluster.mRegion;
  settings.mListen = { Loopback(), Loopback(), Loopback(), Loopback() };
  settings.mPlatform.mTable = "http://" + cluster.Table().Server().Address();
  settings.mPlatform.mHosts = "http://" + cluster.Hosts().Server().Address();
  settings.mPlatform.mObjects =
    "http://" + cluster.Objects().Server().Address();
  settings.mPlatform.mWeights =
    "http://" + cluster.Weights().Server().Address();
  settings.mPeerKeys = { { "demo", kPeerSecret } };
  settings.mOperatorKeys = { { kOperatorId, kOperatorSecret, { "*" } } };
  settings.mLimits = { 16U << 10U, 4U << 20U, std::chrono::seconds(10), 2000 };
  settings.mTiming = { std::chrono::milliseconds(500),
                       mOptions.mEndpointCacheTtl };
  settings.mTrace.mSampling = 0.01;
  return settings;
}

void embedded_fleet::Publish(std::size_t aIndex)
{
  host_entry host;
  host.mName = fmt::format("node-{}", aIndex + 1);
  host.mRole = host_role::Node;
  host.mZone = mCluster.Zone(aIndex);
  host.mRegion = mOptions.mCluster.mRegion;
  host.mAddress = mNodes[aIndex]->HttpAddress();
  host.mPeerAddress = mNodes[aIndex]->PeerAddress();
  mCluster.Hosts().Put(host);
}

result<void, fleet_error> embedded_fleet::StoreDocument()
{
  const auto transaction = ImportDocument(
    DemoDocument(mOptions.mAccounts), "demo", { kOperatorId, {} }, SetUpId(1));
  if (!transaction) {
    return fleet_error{ FormatConfigErrors(transaction.error()) };
  }
  if (!CommitDirectly(mCluster, transaction.value())) {
    return fleet_error{ "the document was not stored" };
  }
  return success();
}

result<void, fleet_error> embedded_fleet::StoreBudgets()
{
  std::uint64_t number = 2;
  for (const demo_account& account : mOptions.mAccounts) {
    if (account.mPrepaid == 0) {
      continue;
    }
    const auto transaction =
      CreateBudget({ account.mName },
                   { BudgetKey({ account.mName }), 0, "" },
                   account.mPrepaid,
                   SetUpId(number++));
    if (!transaction || !CommitDirectly(mCluster, transaction.value())) {
      return fleet_error{ "a budget was not stored" };
    }
  }
  return success();
}

std::int64_t embedded_fleet::Spent(const std::string& aBudget)
{
  const auto rows = mCluster.Table().Table().Read({ BudgetKey({ aBudget }) });
  const auto row = ShowBudget(rows.front());
  return row ? row.value().mSpent : -1;
}

std::vector<table_row> embedded_fleet::Segments(const std::string& aBudget)
{
  constexpr std::uint32_t kLimit = 1'000'000;
  return mCluster.Table().Table().Scan(
    { SegmentPrefix({ aBudget }), "", kLimit });
}

std::int64_t embedded_fleet::Granted(const std::string& aBudget,
                                     const std::string& aNode)
{
  const auto rows = mCluster.Table().Table().Read({ BudgetKey({ aBudget }) });
  const auto row = ShowBudget(rows.front());
  std::int64_t granted = 0;
  if (row) {
    for (const auto& [holder, tokens] : row.value().mOutstanding) {
      granted += holder.mNode.mName == aNode ? tokens : 0;
    }
  }
  return granted;
}

bool embedded_fleet::Reconciled(const std::string& aBudget)
{
  const auto rows = mCluster.Table().Table().Read({ BudgetKey({ aBudget }) });
  return Reconcile({ aBudget }, rows.front(), Segments(aBudget)).IsClean();
}

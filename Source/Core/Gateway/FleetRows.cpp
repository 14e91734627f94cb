#include "Gateway/FleetRows.h"

#include <utility>

#include <fmt/format.h>

#include "Common/Log.h"

namespace {

using std::chrono::milliseconds;

// Delay between attempts to write this node's row.
constexpr milliseconds kRegistrationRetryDelay(500);
// Limit of crash rows that one node writes per maintenance interval; without it
// a server lost with 60 requests would cause 60 writes.
constexpr unsigned kMaxCrashRowsPerInterval = 3;

constexpr std::string_view kNodePrefix = "node/";
constexpr std::string_view kCrashPrefix = "crash/";

} // namespace

fleet_rows::fleet_rows(fleet_view& aFleet,
                       crash_history& aCrashes,
                       gateway_metrics& aMetrics,
                       row_store& aStore,
                       const time_source& aTime,
                       std::string aRun)
  : mFleet(aFleet)
  , mCrashes(aCrashes)
  , mMetrics(aMetrics)
  , mStore(aStore)
  , mTime(aTime)
  , mRun(std::move(aRun))
{
}

fleet_rows::~fleet_rows()
{
  *mAlive = false;
}

void fleet_rows::OnMaintenanceTick(time_point aNow)
{
  mCrashRowsLeft = kMaxCrashRowsPerInterval;
  Register(aNow);
}

void fleet_rows::Apply(const stored_row& aRow)
{
  const std::string_view key = aRow.mKey.mKey;
  if (key.starts_with(kNodePrefix)) {
    mFleet.AddCandidate(std::string(key.substr(kNodePrefix.size())));
  } else if (key.starts_with(kCrashPrefix)) {
    const std::string_view crashKey = key.substr(kCrashPrefix.size());
    const auto slash = crashKey.find('/');
    const auto request = ParseWide<content_tag>(crashKey.substr(0, slash));
    const auto server = slash == std::string_view::npos
                          ? std::nullopt
                          : ParseServerRun(crashKey.substr(slash + 1));
    if (!request || !server) {
      Log(log_level::Info, "crash_row_unusable", { Field("key", key) });
      return;
    }
    const time_point now = mTime.Now();
    if (mCrashes.Add({ *request, *server, now }, now)) {
      LogCrash("store", *request, *server, now);
    }
  }
}

void fleet_rows::Register(time_point aNow)
{
  if (mRegistered || mRegistering || aNow < mNextRegistrationAt) {
    return;
  }
  mRegistering = true;
  row_transaction transaction;
  transaction.mWrites.push_back(
    { { kFleetTableName,
        "",
        std::string(kNodePrefix) + mFleet.Self().mAddress },
      mRun });
  mStore.Commit(transaction, [this, alive = mAlive](auto aResult) {
    if (!*alive) {
      return;
    }
    mRegistering = false;
    mRegistered = aResult.has_value() && aResult.value().mCommitted;
    mNextRegistrationAt = mTime.Now() + kRegistrationRetryDelay;
  });
}

void fleet_rows::WriteCrash(const content_id& aRequest,
                            const server_run& aServer)
{
  const time_point now = mTime.Now();
  if (!mCrashes.Add({ aRequest, aServer, now }, now)) {
    return;
  }
  LogCrash("own", aRequest, aServer, now);
  const std::string key = fmt::format(
    "{}{}/{}", kCrashPrefix, FormatWide(aRequest), FormatServerRun(aServer));
  if (mCrashRowsLeft == 0) {
    Log(log_level::Info,
        "crash_row_not_written",
        { Field("key", key), Field("error", "limit of rows") });
    return;
  }
  --mCrashRowsLeft;
  row_transaction transaction;
  transaction.mWrites.push_back({ { kFleetTableName, "", key }, mRun });
  mStore.Commit(transaction, [key](auto aResult) {
    if (!aResult.has_value()) {
      Log(log_level::Info,
          "crash_row_not_written",
          { Field("key", key),
            Field("error", RowStoreErrorName(aResult.error())) });
    }
  });
}

void fleet_rows::LogCrash(const char* aSource,
                          const content_id& aRequest,
                          const server_run& aServer,
                          time_point aNow)
{
  mMetrics.OnCrashReport(aSource);
  Log(log_level::Info,
      "crash_known",
      { Field("source", aSource),
        Field("fingerprint", FormatWide(aRequest)),
        Field("server_run", FormatServerRun(aServer)),
        Field("known_crashes", mCrashes.CrashCount(aRequest, aNow)) });
}

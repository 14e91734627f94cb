// Parts of `fleet_view` that concern the addresses for clients.

#include "Gateway/FleetView.h"

#include <algorithm>
#include <cmath>

namespace {

using std::chrono::milliseconds;

// Peers that have reported here for this long must have heard of this node. It
// covers the time in which a peer takes a silent node for dead.
constexpr milliseconds kHeardTimeout(1500);
// Without a report for this time nothing is known of what peers hear.
constexpr milliseconds kReportTimeout(1000);

std::optional<double> Use(const node_report& aReport)
{
  return std::max(aReport.mLinkUse, aReport.mProcessorUse);
}

endpoint_host Host(const node_report& aReport,
                   time_point aHeardAt,
                   time_point aReportedAt)
{
  endpoint_host host;
  host.mAddress = aReport.mAddress;
  host.mClientAddress = aReport.mClientAddress;
  host.mZone = aReport.mZone;
  host.mRegion = aReport.mRegion;
  // A datagram may hold any number.
  host.mCapacity =
    std::isfinite(aReport.mCapacity) ? std::max(aReport.mCapacity, 0.0) : 0.0;
  host.mUse = Use(aReport);
  host.mUseAt = aReportedAt;
  host.mLeftAnswers = aReport.mClientState == client_state::LeftAnswers ||
                      aReport.mClientState == client_state::Refusing;
  host.mHeardAt = aHeardAt;
  return host;
}

} // namespace

endpoint_view fleet_view::EndpointView(time_point aNow) const
{
  endpoint_view view;
  for (const auto& [address, peer] : mPeers) {
    view.mPeersRun = view.mPeersRun || IsAlive(peer, aNow);
    if (peer.mReport && !peer.mReport->mClientAddress.empty() &&
        peer.mReport->mReady && !peer.mReport->mLeaving) {
      view.mHosts.push_back(
        Host(*peer.mReport, peer.mLastSeen, peer.mLastReportAt));
    }
  }
  if (mSelf.mReady && !mSelf.mLeaving) {
    view.mHosts.push_back(Host(mSelf, aNow, aNow));
  }
  return view;
}

std::vector<endpoint_change> fleet_view::UpdateEndpoints(time_point aNow)
{
  if (!mEndpoints.NeedsUpdate(aNow)) {
    return {};
  }
  return mEndpoints.Update(EndpointView(aNow), aNow);
}

std::vector<std::string> fleet_view::ClientAddresses(
  time_point aNow,
  const std::string& aZone) const
{
  return mEndpoints.Addresses(EndpointView(aNow), zone_id{ aZone }, aNow);
}

bool fleet_view::IsHeardByPeers(time_point aNow) const
{
  if (mLastPeerReportAt == time_point() ||
      aNow > mLastPeerReportAt + kReportTimeout ||
      aNow < mPeersReportSince + kHeardTimeout) {
    return true;
  }
  return aNow < mHeardByPeersAt + kHeardTimeout;
}

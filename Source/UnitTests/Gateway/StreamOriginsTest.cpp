#include <gtest/gtest.h>

#include <random>

#include <fmt/format.h>

#include "Gateway/PeerDatagram.h"
#include "Gateway/StreamOrigins.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id kService{ "engine" };
const software_version kOld{ "v1" };
const software_version kNew{ "v2" };

/// Nodes that exchange their messages over a network that may lose some.
class stream_origins_test : public testing::Test
{
protected:
  void StartNodes(unsigned aCount)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      Start(Address(i));
    }
  }

  static std::string Address(unsigned aNode)
  {
    return fmt::format("10.0.{}.{}:7000", aNode / 200, aNode % 200);
  }

  /// Starts a node, or starts it again without what it knew.
  void Start(const std::string& aAddress)
  {
    mNodes.erase(aAddress);
    mNodes.emplace(aAddress, aAddress);
    UpdatePeers();
  }

  void Kill(const std::string& aAddress)
  {
    mNodes.erase(aAddress);
    UpdatePeers();
  }

  void UpdatePeers()
  {
    for (auto& [address, node] : mNodes) {
      std::vector<std::string> peers;
      for (const auto& [peer, other] : mNodes) {
        if (peer != address && !IsCut(address, peer)) {
          peers.push_back(peer);
        }
      }
      node.SetPeers(std::move(peers), mNow);
    }
  }

  bool IsCut(const std::string& aFrom, const std::string& aTo) const
  {
    return mCutOff.contains(aFrom) != mCutOff.contains(aTo);
  }

  /// Lets time pass while the nodes see servers with these versions.
  void Run(milliseconds aDuration,
           const std::vector<software_version>& aVersions,
           milliseconds aTick = milliseconds(250))
  {
    for (milliseconds passed(0); passed < aDuration; passed += aTick) {
      mNow += aTick;
      for (auto& [address, node] : mNodes) {
        for (const software_version& version : aVersions) {
          node.OnServer(kService, version, mNow);
        }
        node.OnTick(mStoreAway ? mNow - seconds(5) : mNow, mNow);
      }
      Exchange();
    }
  }

  template<class Message>
  void Deliver(const std::string& aFrom,
               const std::string& aTo,
               const Message& aMessage)
  {
    ++mMessages;
    const auto receiver = mNodes.find(aTo);
    if (receiver == mNodes.end() || IsCut(aFrom, aTo) ||
        std::uniform_real_distribution<>()(mRandom) < mLossShare) {
      return;
    }
    const std::string bytes = WritePeerDatagram(aMessage);
    mBytes += bytes.size();
    const auto datagram = ParsePeerDatagram(bytes);
    ASSERT_TRUE(datagram);
    if (const auto* notice = std::get_if<stream_notice>(&*datagram)) {
      receiver->second.OnNotice(*notice, mNow);
    } else if (const auto* query = std::get_if<stream_query>(&*datagram)) {
      Deliver(aTo, query->mAddress, receiver->second.OnQuery(*query, mNow));
    } else {
      receiver->second.OnAnswer(std::get<stream_answer>(*datagram), mNow);
    }
  }

  void Exchange()
  {
    for (auto& [address, node] : mNodes) {
      for (const auto& [to, notice] : node.TakeNotices(mNow)) {
        Deliver(address, to, notice);
      }
      for (const auto& [to, query] : node.TakeQueries()) {
        Deliver(address, to, query);
      }
    }
  }

  /// A stream begins at a node; returns its key.
  stream_key Begin(const std::string& aNode, const software_version& aSoftware)
  {
    const stream_key stream = StreamKey(fmt::format("request-{}", ++mStreams));
    mNodes.at(aNode).Record(
      stream, kService, SoftwareKey(kService, aSoftware), mNow);
    return stream;
  }

  /// Looks a stream up until there is a result. `aServersCurrentAt` is the time
  /// of the server entries; nothing if `mServersAge` tells it.
  stream_lookup Resume(const std::string& aNode,
                       stream_key aStream,
                       std::optional<time_point> aServersCurrentAt = {})
  {
    const time_point since = mNow;
    while (true) {
      const auto found =
        mNodes.at(aNode).Lookup(aStream,
                                { kService },
                                aServersCurrentAt.value_or(since - mServersAge),
                                since,
                                mNow);
      if (found.mState != stream_lookup::state::Pending) {
        return found;
      }
      Exchange();
      mNow += milliseconds(10);
    }
  }

  /// Begins streams of both versions at random nodes, with kills between, and
  /// resumes them elsewhere. Returns the share that goes on; a stream must
  /// never go on at the wrong version.
  double ShareResumed(unsigned aNodes, unsigned aKillEach)
  {
    StartNodes(aNodes);
    Run(seconds(1), { kOld, kNew });
    unsigned resumed = 0;
    constexpr unsigned kStreams = 100;
    for (unsigned i = 0; i < kStreams; ++i) {
      const std::string origin = Address(mRandom() % aNodes);
      const software_version software = i % 2 == 0 ? kOld : kNew;
      const stream_key stream = Begin(origin, software);
      Run(milliseconds(10), { kOld, kNew }, milliseconds(10));
      std::string killed;
      if (aKillEach != 0 && i % aKillEach == 0) {
        killed = origin;
        Kill(origin);
      }
      std::string node = Address(mRandom() % aNodes);
      while (node == origin) {
        node = Address(mRandom() % aNodes);
      }
      const auto found = Resume(node, stream);
      if (found.mState == stream_lookup::state::Known) {
        ++resumed;
        EXPECT_EQ(found.mSoftware, SoftwareKey(kService, software));
      }
      if (!killed.empty()) {
        Start(killed);
      }
    }
    return static_cast<double>(resumed) / kStreams;
  }

  time_point mNow{ seconds(1000) };
  std::map<std::string, stream_origins> mNodes;
  std::set<std::string> mCutOff;
  std::mt19937 mRandom{ 7 };
  double mLossShare = 0.0;
  bool mStoreAway = false;
  /// Age of the server entries at the node at which a stream is resumed.
  milliseconds mServersAge{ 0 };
  unsigned mStreams = 0;
  unsigned mMessages = 0;
  std::size_t mBytes = 0;
};

class stream_origins_fleet_test
  : public stream_origins_test
  , public testing::WithParamInterface<unsigned>
{};

} // namespace

// Guards against streams that no node can place because the node that served
// them was killed, in small and large fleets.
TEST_P(stream_origins_fleet_test, RecordsOutliveTheirNode)
{
  EXPECT_EQ(ShareResumed(GetParam(), 1), 1.0);
}

// Guards against lost datagrams that leave most streams without a version.
TEST_P(stream_origins_fleet_test, SurvivesLostDatagrams)
{
  mLossShare = 0.3;
  EXPECT_GT(ShareResumed(GetParam(), 3), 0.9);
}

INSTANTIATE_TEST_SUITE_P(Nodes,
                         stream_origins_fleet_test,
                         testing::Values(3U, 30U, 340U));

namespace {

/// Fleets of which all nodes are lost at once, with every record.
class lost_fleet_test
  : public stream_origins_test
  , public testing::WithParamInterface<unsigned>
{
protected:
  /// Starts all nodes and lets them know the versions until they are certain.
  void StartFleet(const std::vector<software_version>& aVersions)
  {
    StartNodes(GetParam());
    Run(seconds(31), aVersions);
  }

  void RestartFleet()
  {
    for (unsigned i = 0; i < GetParam(); ++i) {
      Start(Address(i));
    }
  }

  /// Resumes the streams at a random node at each of the times after the
  /// restart. Returns the first time in seconds at which one is accepted; fails
  /// if one is accepted at another version than its own.
  int FirstAcceptedAt(
    const std::map<stream_key, software_version>& aStreams,
    const std::vector<software_version>& aVersionsAfterRestart)
  {
    constexpr int kSeconds = 40;
    int accepted = kSeconds + 1;
    for (int second = 0; second <= kSeconds; ++second) {
      for (const auto& [stream, software] : aStreams) {
        const auto found = Resume(Address(mRandom() % GetParam()), stream);
        if (found.mState != stream_lookup::state::Known) {
          EXPECT_EQ(found.mState, stream_lookup::state::Unknown);
          continue;
        }
        accepted = std::min(accepted, second);
        // Later resumptions are of no stream that still exists.
        if (seconds(second) < kStreamLifetime) {
          EXPECT_EQ(found.mSoftware, SoftwareKey(kService, software))
            << "after " << second << " s";
        }
      }
      Run(seconds(1), aVersionsAfterRestart);
    }
    return accepted;
  }
};

} // namespace

// Guards against text of two versions when all nodes are lost while both serve:
// no node can tell the version, so each resumption is refused.
TEST_P(lost_fleet_test, RefusesStreamsWhileTwoVersionsServe)
{
  StartFleet({ kOld, kNew });
  const std::map<stream_key, software_version> streams{
    { Begin(Address(0), kOld), kOld }, { Begin(Address(1), kNew), kNew }
  };
  RestartFleet();
  EXPECT_EQ(FirstAcceptedAt(streams, { kOld, kNew }), 41);
}

// Guards against text of two versions when the last servers of the old version
// left just before all nodes were lost: the new one is the only version that
// the nodes can see, and streams of the old one are refused until they have
// ended.
TEST_P(lost_fleet_test, RefusesStreamsOfAVersionThatLeftBefore)
{
  StartFleet({ kOld, kNew });
  const std::map<stream_key, software_version> streams{
    { Begin(Address(0), kOld), kOld }
  };
  RestartFleet();
  EXPECT_GE(FirstAcceptedAt(streams, { kNew }), kStreamLifetime.count());
}

// The same while a single version serves all the time: the nodes cannot know
// that, so streams are refused for as long, and then accepted again.
TEST_P(lost_fleet_test, AcceptsStreamsOfASingleVersionAfterTheirLifetime)
{
  StartFleet({ kOld });
  const std::map<stream_key, software_version> streams{
    { Begin(Address(0), kOld), kOld }
  };
  RestartFleet();
  const int accepted = FirstAcceptedAt(streams, { kOld });
  EXPECT_GE(accepted, kStreamLifetime.count());
  EXPECT_LE(accepted, kStreamLifetime.count() + 2);
}

INSTANTIATE_TEST_SUITE_P(Nodes, lost_fleet_test, testing::Values(3U, 75U));

// Guards against a node with server entries from before a release: it knows one
// version, and the stream began at another that only other nodes know.
TEST_F(stream_origins_test, AsksPeersIfAVersionMayBeUnknown)
{
  StartNodes(30);
  Run(seconds(31), { kOld });
  for (auto& [address, node] : mNodes) {
    if (address != Address(2)) {
      node.OnServer(kService, kNew, mNow);
    }
  }
  std::vector<stream_key> streams;
  streams.reserve(20);
  for (int i = 0; i < 20; ++i) {
    streams.push_back(Begin(Address(1), kNew));
  }
  Exchange();
  Kill(Address(1));
  mServersAge = milliseconds(1400);
  for (const stream_key stream : streams) {
    const auto found = Resume(Address(2), stream);
    EXPECT_EQ(found.mState, stream_lookup::state::Known);
    EXPECT_EQ(found.mSoftware, SoftwareKey(kService, kNew));
  }
}

// Guards against streams of a service with a single version that are refused
// because the server entries are a second old.
TEST_F(stream_origins_test, OldEntriesOfASingleVersionRefuseNothing)
{
  StartNodes(5);
  Run(seconds(31), { kOld });
  const stream_key stream = Begin(Address(1), kOld);
  Kill(Address(1));
  mServersAge = milliseconds(1400);
  const time_point asked = mNow;
  const auto found = Resume(Address(2), stream);
  EXPECT_EQ(found.mState, stream_lookup::state::Known);
  EXPECT_EQ(found.mSoftware, SoftwareKey(kService, kOld));
  EXPECT_LE(mNow, asked + milliseconds(20));
}

// Guards against resumptions that are refused for as long as two killed nodes
// still count as live: of six nodes, they are the two that surely keep a copy
// for one stream in ten.
TEST_F(stream_origins_test, TwoKilledNodesRefuseFewStreams)
{
  constexpr unsigned kStreams = 100;
  StartNodes(6);
  Run(seconds(31), { kOld });
  mServersAge = milliseconds(1400);
  mNodes.erase(Address(1));
  mNodes.erase(Address(2));
  unsigned refused = 0;
  for (stream_key stream = 1; stream <= kStreams; ++stream) {
    const auto found = Resume(Address(0), StreamKey(std::to_string(stream)));
    refused += found.mState == stream_lookup::state::Unknown ? 1U : 0U;
  }
  EXPECT_LE(refused, kStreams * 3 / 20);
}

// Guards against control traffic for services with one version, which needs
// none.
TEST_F(stream_origins_test, ASingleVersionNeedsNoMessages)
{
  StartNodes(5);
  Run(seconds(31), { kOld });
  mMessages = 0;
  const stream_key stream = Begin(Address(1), kOld);
  Run(seconds(1), { kOld });
  Kill(Address(1));
  const auto found = Resume(Address(2), stream);
  EXPECT_EQ(found.mState, stream_lookup::state::Known);
  EXPECT_EQ(found.mSoftware, SoftwareKey(kService, kOld));
  EXPECT_EQ(mMessages, 0U);
}

// Guards against streams that began before a release and lose their version
// with its first server.
TEST_F(stream_origins_test, CopiesRecordsOnceASecondVersionServes)
{
  StartNodes(5);
  Run(seconds(31), { kOld });
  const stream_key stream = Begin(Address(1), kOld);
  Run(seconds(1), { kOld });
  Run(milliseconds(250), { kOld, kNew });
  Kill(Address(1));
  const auto found = Resume(Address(2), stream);
  EXPECT_EQ(found.mState, stream_lookup::state::Known);
  EXPECT_EQ(found.mSoftware, SoftwareKey(kService, kOld));
}

// Guards against streams of a version whose servers have all left that go on at
// the next one, because it is the only one left.
TEST_F(stream_origins_test, ARecentVersionIsRemembered)
{
  StartNodes(2);
  Run(seconds(31), { kOld });
  Run(seconds(20), { kNew });
  EXPECT_EQ(Resume(Address(0), 5).mState, stream_lookup::state::Unknown);
  Run(seconds(31), { kNew });
  EXPECT_EQ(Resume(Address(0), 5).mSoftware, SoftwareKey(kService, kNew));
}

// Guards against a node without contact to the store that takes its only known
// version for the only one.
TEST_F(stream_origins_test, IsNotCertainWithoutTheStore)
{
  StartNodes(5);
  Run(seconds(31), { kOld });
  mStoreAway = true;
  Run(seconds(1), { kOld });
  const stream_key stream = Begin(Address(1), kOld);
  Run(milliseconds(250), { kOld });
  Kill(Address(1));
  EXPECT_EQ(Resume(Address(2), stream).mSoftware, SoftwareKey(kService, kOld));
  EXPECT_EQ(Resume(Address(2), 5).mState, stream_lookup::state::Unknown);
}

// Guards against a node that has just started and refuses streams although its
// peers are certain of a single version.
TEST_F(stream_origins_test, AskingPeersHelpsANewNode)
{
  StartNodes(5);
  Run(seconds(31), { kOld });
  const stream_key stream = Begin(Address(1), kOld);
  Kill(Address(1));
  Start(Address(1));
  Run(seconds(1), { kOld });
  const auto found = Resume(Address(1), stream);
  EXPECT_EQ(found.mState, stream_lookup::state::Known);
  EXPECT_EQ(found.mSoftware, SoftwareKey(kService, kOld));
}

// Guards against a client that waits for a node that can ask nobody.
TEST_F(stream_origins_test, ANodeCutOffAnswersAtOnce)
{
  StartNodes(5);
  Run(seconds(1), { kOld, kNew });
  const stream_key own = Begin(Address(3), kNew);
  const stream_key other = Begin(Address(4), kNew);
  mCutOff.insert(Address(3));
  UpdatePeers();
  Run(seconds(1), { kOld, kNew });
  EXPECT_EQ(Resume(Address(3), own).mSoftware, SoftwareKey(kService, kNew));
  const time_point asked = mNow;
  EXPECT_EQ(Resume(Address(3), other + 1).mState,
            stream_lookup::state::Unknown);
  EXPECT_EQ(mNow, asked);
}

// Guards against a client that waits for silent peers beyond the time in which
// another node could serve it.
TEST_F(stream_origins_test, WaitsForAnswersForALimitedTime)
{
  StartNodes(5);
  Run(seconds(1), { kOld, kNew });
  mLossShare = 1.0;
  const time_point asked = mNow;
  EXPECT_EQ(Resume(Address(0), 5).mState, stream_lookup::state::Unknown);
  EXPECT_LE(mNow, asked + milliseconds(200));
}

// Guards against tables that grow with every stream, or with streams that
// clients only claim.
TEST_F(stream_origins_test, TablesAreBounded)
{
  StartNodes(2);
  Run(seconds(1), { kOld, kNew });
  stream_origins& node = mNodes.at(Address(0));
  for (int i = 0; i < 100000; ++i) {
    Begin(Address(0), kOld);
  }
  EXPECT_LE(node.Size(), 30000U);
  for (stream_key claimed = 1; claimed < 5000; ++claimed) {
    node.Lookup(claimed, { kService }, mNow, mNow, mNow);
  }
  EXPECT_LE(node.TakeQueries().size(), 2000U);
  Run(seconds(31), { kOld, kNew });
  EXPECT_EQ(node.Size(), 0U);
}

// Guards against copies that cost more than the control traffic that a node may
// cause at the target size: 2 KB a second.
TEST_F(stream_origins_test, CopiesOfTheLargestFleetAreSmall)
{
  StartNodes(340);
  Run(seconds(1), { kOld, kNew });
  mBytes = 0;
  // 6,300 requests a second over 340 nodes.
  for (int i = 0; i < 18; ++i) {
    Begin(Address(7), kOld);
    Run(milliseconds(10), { kOld, kNew }, milliseconds(10));
  }
  EXPECT_LE(mBytes, 2000U);
}

namespace {

/// Fleets of which one node is out of step while servers of a new version join.
class out_of_step_test
  : public stream_origins_test
  , public testing::WithParamInterface<unsigned>
{
protected:
  void SetUp() override
  {
    StartNodes(GetParam());
    Run(seconds(31), { kOld });
    mReadAt = mNow;
  }

  /// The new version joins, which all nodes but the given ones see, and streams
  /// begin at it at another node.
  void BeginAtNewVersion(const std::set<std::string>& aUnaware)
  {
    mNow += milliseconds(1000);
    for (auto& [address, node] : mNodes) {
      if (!aUnaware.contains(address)) {
        node.OnServer(kService, kNew, mNow);
      }
    }
    for (unsigned i = 0; i < kStreams; ++i) {
      mBegun.push_back(Begin(mOrigin, kNew));
    }
    Exchange();
  }

  /// Lets time pass at the node out of step, which reads no server entries.
  void RunLate(milliseconds aDuration, bool aInContact)
  {
    constexpr milliseconds kTick(250);
    stream_origins& late = mNodes.at(mLate);
    for (milliseconds passed(0); passed < aDuration; passed += kTick) {
      mNow += kTick;
      late.OnServer(kService, kOld, mNow);
      late.OnTick(aInContact ? mNow : mReadAt, mNow);
    }
  }

  /// Resumes the streams at the node out of step; none may go on at the old
  /// version. Returns how many go on.
  unsigned ResumeAll()
  {
    unsigned resumed = 0;
    for (const stream_key stream : mBegun) {
      const auto found = Resume(mLate, stream, mReadAt);
      if (found.mState == stream_lookup::state::Known) {
        EXPECT_EQ(found.mSoftware, SoftwareKey(kService, kNew));
        ++resumed;
      }
    }
    return resumed;
  }

  static constexpr unsigned kStreams = 8;
  const std::string mLate = Address(0);
  const std::string mOrigin = Address(1);
  /// Time of the server entries of the node out of step.
  time_point mReadAt;
  std::vector<stream_key> mBegun;
};

} // namespace

// Guards against a node that is cut off from the others, before and after it
// notices, and takes the version of its old entries for the only one.
TEST_P(out_of_step_test, CutOffFromPeers)
{
  mCutOff = { mLate };
  BeginAtNewVersion({ mLate });
  EXPECT_EQ(ResumeAll(), 0U);
  UpdatePeers();
  const time_point asked = mNow;
  EXPECT_EQ(ResumeAll(), 0U);
  EXPECT_EQ(mNow, asked);
  // The next read of the entries shows the new version.
  mReadAt = mNow + milliseconds(400);
  mNodes.at(mLate).OnServer(kService, kNew, mNow);
  RunLate(milliseconds(500), true);
  EXPECT_EQ(ResumeAll(), 0U);
}

// The same for a node that does not hear the store either, before and after it
// knows that.
TEST_P(out_of_step_test, CutOffFromPeersAndStore)
{
  mCutOff = { mLate };
  BeginAtNewVersion({ mLate });
  UpdatePeers();
  for (int i = 0; i < 6; ++i) {
    RunLate(milliseconds(500), false);
    EXPECT_EQ(ResumeAll(), 0U);
  }
}

// Guards against records that a node could not hear: it asks for them as soon
// as the cut has ended, also for streams that it has just refused.
TEST_P(out_of_step_test, ResumesRightAfterACut)
{
  mCutOff = { mLate };
  UpdatePeers();
  BeginAtNewVersion({ mLate });
  EXPECT_EQ(ResumeAll(), 0U);
  mCutOff.clear();
  UpdatePeers();
  EXPECT_EQ(ResumeAll(), kStreams);
}

// Guards against a node that hears only one other node right after a cut, which
// keeps no copy and has old entries as well.
TEST_P(out_of_step_test, TheFirstPeerAfterACutMayKnowNothing)
{
  const std::string first = Address(GetParam() - 1);
  mCutOff = { mLate };
  UpdatePeers();
  BeginAtNewVersion({ mLate, first });
  mCutOff.clear();
  mNodes.at(mLate).SetPeers({ first }, mNow);
  ResumeAll();
}

// Guards against a node that stands still between a resumption and its question
// and takes the time for answers to be over.
TEST_P(out_of_step_test, StandsStillBeforeItAsks)
{
  BeginAtNewVersion({ mLate });
  const stream_key stream = StreamKey("record is lost");
  const auto found = mNodes.at(mLate).Lookup(
    stream, { kService }, mReadAt, mNow, mNow + seconds(4));
  EXPECT_EQ(found.mState, stream_lookup::state::Unknown);
}

// Guards against a node that stands still for the whole time for which a
// version serves and finds that it has always been in contact with the store.
TEST_P(out_of_step_test, StandsStillWhileAVersionComesAndGoes)
{
  mCutOff = { mLate };
  BeginAtNewVersion({ mLate });
  mCutOff.clear();
  mNow += seconds(10);
  mReadAt = mNow + seconds(10);
  // Before its first tick and after it.
  EXPECT_EQ(Resume(mLate, mBegun[0], mReadAt).mSoftware,
            SoftwareKey(kService, kNew));
  RunLate(milliseconds(250), true);
  EXPECT_EQ(ResumeAll(), kStreams);
}

// Guards against the word of a node with old entries while those that keep the
// copies do not answer: the asking node knows of another version.
TEST_P(out_of_step_test, OldCertaintyOfAPeerIsRefuted)
{
  BeginAtNewVersion({ mLate });
  const std::string asking = Address(2);
  for (auto& [address, node] : mNodes) {
    if (address != asking && address != mLate) {
      mCutOff.insert(address);
    }
  }
  for (const bool restarted : { false, true }) {
    if (restarted) {
      Start(asking);
      mNodes.at(asking).SetPeers({ mLate }, mNow);
      mNodes.at(asking).OnServer(kService, kNew, mNow);
    }
    for (stream_key stream = 1; stream <= 40; ++stream) {
      EXPECT_EQ(Resume(asking, stream, mReadAt).mState,
                stream_lookup::state::Unknown);
    }
  }
}

// Guards against streams of a single version that a cut-off node refuses for
// longer than it takes to read the entries again.
TEST_P(out_of_step_test, GoesOnOnceTheEntriesAreNewerThanTheFirstTry)
{
  const stream_key stream = Begin(mOrigin, kOld);
  mCutOff = { mLate };
  UpdatePeers();
  mNow += milliseconds(1000);
  EXPECT_EQ(Resume(mLate, stream, mReadAt).mState,
            stream_lookup::state::Unknown);
  mReadAt = mNow + milliseconds(400);
  RunLate(milliseconds(500), true);
  EXPECT_EQ(Resume(mLate, stream, mReadAt).mSoftware,
            SoftwareKey(kService, kOld));
}

// Guards against streams of a single version that a node in step refuses
// because one of the nodes that it asks was killed.
TEST_P(out_of_step_test, OneSilentPeerRefusesNothing)
{
  mNow += milliseconds(1000);
  for (unsigned i = 0; i < kStreams; ++i) {
    const stream_key stream = Begin(mOrigin, kOld);
    mCutOff = { mOrigin };
    EXPECT_EQ(Resume(mLate, stream, mReadAt).mSoftware,
              SoftwareKey(kService, kOld));
  }
}

// Guards against streams of a single version that are refused at once when the
// store goes away for all nodes, and against certainty that outlasts 2 s of it.
TEST_P(out_of_step_test, AStoreAwayForAllEndsCertaintyAfterTwoSeconds)
{
  const stream_key stream = StreamKey("not copied");
  const time_point lost = mNow;
  for (const milliseconds away : { milliseconds(1750), milliseconds(2000) }) {
    mNow = lost + away;
    for (auto& [address, node] : mNodes) {
      node.OnTick(mReadAt, mNow);
    }
    const bool known =
      Resume(mLate, stream, mReadAt).mState == stream_lookup::state::Known;
    EXPECT_EQ(known, away < seconds(2));
  }
}

INSTANTIATE_TEST_SUITE_P(Nodes, out_of_step_test, testing::Values(3U, 30U));
